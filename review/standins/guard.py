"""Runs a case within its time and ends what it started, whatever happens."""

import asyncio
import os
import signal

LIMIT = 110.0  # seconds; a case may take 120
children = []  # processes that the case started


def add(process):
    children.append(process)
    return process


def end_now(code):
    for child in children:
        if child.returncode is None:
            try:
                child.kill()
            except ProcessLookupError:
                pass
    os._exit(code)


async def end_children():
    """SIGTERM, and SIGKILL for those that don't end."""
    for child in children:
        if child.returncode is None:
            child.terminate()
    for child in children:
        if child.returncode is None:
            try:
                await asyncio.wait_for(child.wait(), 3)
            except asyncio.TimeoutError:
                child.kill()
                await child.wait()


def play(case):
    """Runs the coroutine function; returns its exit code, or 2 if it fails, is stopped or takes too long."""

    async def whole():
        task = asyncio.ensure_future(case())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, LIMIT)
        finally:
            await end_children()

    signal.signal(signal.SIGALRM, lambda *_: end_now(2))  # if the loop itself hangs
    signal.alarm(int(LIMIT) + 7)
    try:
        return asyncio.run(whole())
    except BaseException as error:
        print(f"could not run: {error!r}")
        return 2

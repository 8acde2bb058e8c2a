//! Worker threads that run an event loop and execute commands. The owner holds a handle, the thread an
//! inbox. The nodes, clients, proxies and network of a drill each run on one worker.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use wheelspread_reactor::{Poll, Token, Waker};

/// The readiness token for commands in a worker's inbox.
pub const INBOX: Token = Token(u64::MAX);

/// A command of a worker.
pub trait WorkerCommand: Send + 'static {
    /// The command that stops the worker. It is sent when the handle is dropped.
    const STOP: Self;
}

/// The handle of a worker. Dropping it stops the thread and joins it.
pub struct Worker<Command: WorkerCommand> {
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

/// The receiving end of a worker's command channel.
pub struct Inbox<Command> {
    waker: Waker,
    commands: Receiver<Command>,
}

impl<Command: WorkerCommand> Worker<Command> {
    /// Starts a thread named `name`. It owns the poll, which reports [`INBOX`] when commands are queued.
    pub fn spawn(
        name: &str,
        poll: Poll,
        run: impl FnOnce(Poll, Inbox<Command>) + Send + 'static,
    ) -> io::Result<Worker<Command>> {
        let waker = Waker::new(&poll, INBOX)?;
        let (sender, receiver) = channel();
        let inbox = Inbox {
            waker: waker.clone(),
            commands: receiver,
        };
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || run(poll, inbox))?;
        Ok(Worker {
            commands: sender,
            waker,
            thread: Some(thread),
        })
    }

    /// Sends a command and wakes the thread. No effect if the thread has ended.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
        self.waker.wake();
    }
}

impl<Command: WorkerCommand> Drop for Worker<Command> {
    fn drop(&mut self) {
        self.send(Command::STOP);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl<Command> Inbox<Command> {
    /// Takes all queued commands, in the order in which they were sent. The waker is reset first, so that a
    /// command sent concurrently wakes the loop again.
    pub fn take(&self) -> Vec<Command> {
        self.waker.reset();
        self.commands.try_iter().collect()
    }
}

#[cfg(test)]
mod tests;

//! A thread that runs an event loop and takes commands: the handle that its owner holds and the inbox that
//! the thread reads. Every stand-in of a drill (nodes, clients, proxies, network) is such a worker.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use wheelspread_reactor::{Poll, Token, Waker};

/// The token by which the event loop of a worker sees that commands have arrived.
pub const INBOX: Token = Token(u64::MAX);

/// What a worker is told to do.
pub trait WorkerCommand: Send + 'static {
    /// Ends the worker. It is sent when the handle is dropped.
    const STOP: Self;
}

/// The owner's handle. Dropping it stops the thread and waits for its end.
pub struct Worker<Command: WorkerCommand> {
    commands: Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

/// The thread's end of the command channel.
pub struct Inbox<Command> {
    waker: Waker,
    commands: Receiver<Command>,
}

impl<Command: WorkerCommand> Worker<Command> {
    /// Starts a thread of this name. It takes over the poll, which reports [`INBOX`] when commands wait.
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

    /// Sends a command and wakes the thread. A thread that has ended ignores it.
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
    /// All commands that wait, in the order of their sending. The waker is reset first: a command that is
    /// sent meanwhile wakes the loop again.
    pub fn take(&self) -> Vec<Command> {
        self.waker.reset();
        self.commands.try_iter().collect()
    }
}

#[cfg(test)]
mod tests;

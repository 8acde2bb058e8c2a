//! Workers: command order and the stop on drop.

use super::{Worker, WorkerCommand, INBOX};
use std::sync::mpsc::channel;
use wheelspread::time::Span;
use wheelspread_reactor::Poll;

#[derive(Debug, PartialEq)]
enum Command {
    Number(u32),
    Stop,
}

impl WorkerCommand for Command {
    const STOP: Command = Command::Stop;
}

#[test]
fn commands_arrive_in_order_and_dropping_the_handle_stops_the_thread() {
    let (seen, received) = channel();
    let poll = Poll::new().expect("a poll can be created");
    let worker = Worker::spawn("test", poll, move |mut poll, inbox| {
        let mut ready = Vec::new();
        loop {
            poll.wait(Span::from_seconds(10.0), &mut ready)
                .expect("the poll waits");
            assert!(ready.drain(..).all(|ready| ready.token == INBOX));
            for command in inbox.take() {
                let stop = command == Command::Stop;
                seen.send(command).expect("the receiver is alive");
                if stop {
                    return;
                }
            }
        }
    });
    let worker = worker.expect("the worker starts");
    worker.send(Command::Number(1));
    worker.send(Command::Number(2));
    drop(worker);
    // The thread has ended and dropped its sender, so that the iteration ends.
    let all: Vec<Command> = received.iter().collect();
    let expected = [Command::Number(1), Command::Number(2), Command::Stop];
    assert_eq!(all, expected);
}

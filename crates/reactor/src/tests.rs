use super::*;
use std::net::{Ipv4Addr, SocketAddrV4};
use wheelspread::time::Span;

#[test]
fn wait_returns_on_a_wake_up_and_after_its_timeout() {
    let mut poll = Poll::new().expect("epoll");
    let waker = Waker::new(&poll, Token(7)).expect("eventfd");
    let (before, mut ready) = (now(), Vec::new());
    poll.wait(Span::from_seconds(0.02), &mut ready)
        .expect("waits");
    assert!(ready.is_empty() && now() - before >= Span::from_seconds(0.015));
    let other = waker.clone();
    let thread = std::thread::spawn(move || other.wake());
    poll.wait(Span::from_seconds(10.0), &mut ready)
        .expect("waits");
    assert_eq!(ready.first().map(|ready| ready.token), Some(Token(7)));
    waker.reset();
    poll.wait(Span::ZERO, &mut ready).expect("waits");
    assert!(ready.is_empty(), "the waker was reset");
    thread.join().expect("the thread ends");
}

#[test]
fn connecting_is_reported_as_writable_with_a_listener_and_as_closed_without() {
    let listener = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("listens");
    let port = listener.local_addr().expect("bound").port();
    let mut poll = Poll::new().expect("epoll");
    let mut ready = Vec::new();
    let stream = connect([127, 0, 0, 1], port).expect("starts to connect");
    poll.add(&stream, Token(1), Interest::Edges)
        .expect("registers");
    poll.wait(Span::from_seconds(5.0), &mut ready)
        .expect("waits");
    assert!(ready[0].writable && !ready[0].closed);
    assert_eq!(accept(&listener).0.len(), 1);
    drop(listener);
    let failing = connect([127, 0, 0, 1], port).expect("starts to connect");
    poll.remove(&stream).expect("was registered");
    poll.add(&failing, Token(2), Interest::Edges)
        .expect("registers");
    poll.wait(Span::from_seconds(5.0), &mut ready)
        .expect("waits");
    assert!(ready
        .iter()
        .any(|ready| ready.token == Token(2) && ready.closed));
}

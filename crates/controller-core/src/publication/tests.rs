use super::*;

const QUOTE: OperationId = OperationId(0);
const BOOK: OperationId = OperationId(1);

fn node(port: u16) -> NodeId {
    NodeId {
        address: [127, 0, 0, 1],
        port,
    }
}

fn book() -> Publication {
    let mut book = Publication::new(2, Version(40));
    for port in 1..=4 {
        book.set_line(TableId(0), node(port), 25.0);
    }
    for proxy in [ProxyId(0), ProxyId(1)] {
        book.bind(proxy, TableId(0), &[]);
    }
    book
}

#[test]
fn proxies_with_the_same_tables_share_one_version() {
    let mut book = book();
    assert_eq!(book.publish(|_| String::new()).len(), 1);
    assert_eq!(book.bundle_of(ProxyId(0)), book.bundle_of(ProxyId(1)));
    assert_eq!(
        book.last(),
        Version(41),
        "it goes on after what was published before"
    );
    book.set_line(TableId(0), node(1), 25.0);
    assert_eq!(
        book.publish(|_| String::new()),
        [],
        "the same content is no new version"
    );
}

#[test]
fn a_change_of_two_tables_is_one_version_of_both() {
    let mut book = book();
    book.bind(ProxyId(0), TableId(1), &[BOOK]);
    book.set_line(TableId(1), node(9), 1.0);
    book.publish(|_| String::new());
    book.set_line(TableId(0), node(1), 0.0);
    book.set_line(TableId(1), node(8), 1.0);
    let published = book.publish(|_| String::new());
    assert_eq!(
        published.len(),
        2,
        "the bundle with both tables and the one with the first only"
    );
    let both = book
        .bundle_of(ProxyId(0))
        .and_then(|id| book.newest(id))
        .expect("bound");
    let lines = |operation: OperationId| both.operations[usize::from(operation.0)].lines.len();
    assert_eq!((lines(QUOTE), lines(BOOK)), (3, 2));
}

#[test]
fn lines_apart_counts_what_a_proxy_takes_in() {
    let mut book = book();
    book.publish(|_| String::new());
    let bundle = book.bundle_of(ProxyId(0)).expect("bound");
    let first = book.newest(bundle).expect("published").clone();
    // Two operations share the table: its four lines count once, and a level for each.
    assert_eq!(lines_apart(None, &first), 6);
    book.set_line(TableId(0), node(1), 0.0);
    book.set_line(TableId(0), node(2), 30.0);
    book.set_level(Some(TableId(0)), &[BOOK], 0.5, RetryPolicy::Never);
    book.publish(|_| String::new());
    let second = book.newest(bundle).expect("published").clone();
    assert_eq!(lines_apart(Some(&first), &second), 3);
    assert!(removes_lines(&first, &second) && !removes_lines(&second, &second));
}

#[test]
fn the_lower_level_prevails_and_withdrawn_nodes_are_left_out() {
    let mut book = book();
    book.set_level(None, &[], 0.5, RetryPolicy::OnceOnAnyFailure);
    book.set_level(Some(TableId(0)), &[QUOTE], 0.8, RetryPolicy::Never);
    book.withdraw(node(3), true);
    book.publish(|_| String::new());
    let set = book
        .newest(book.bundle_of(ProxyId(0)).expect("bound"))
        .expect("published");
    let (quote, booking) = (&set.operations[0], &set.operations[1]);
    assert_eq!(
        (quote.quota, quote.retry, quote.lines.len()),
        (Some(0.5), RetryPolicy::Never, 3)
    );
    assert_eq!(
        (booking.quota, booking.retry),
        (Some(0.5), RetryPolicy::OnceOnAnyFailure)
    );
}

use super::*;

const QUOTE: OperationId = OperationId(0);
const ORDER: OperationId = OperationId(1);

fn node(port: u16) -> NodeId {
    NodeId {
        address: [127, 0, 0, 1],
        port,
    }
}

fn publication() -> Publication {
    let mut publication = Publication::new(2, Version(40));
    for port in 1..=4 {
        publication.set_weight(TableId(0), node(port), 25.0);
    }
    for proxy in [ProxyId(0), ProxyId(1)] {
        publication.bind(proxy, TableId(0), &[]);
    }
    publication
}

#[test]
fn proxies_with_the_same_tables_share_one_version() {
    let mut publication = publication();
    assert_eq!(publication.publish(|_| String::new()).len(), 1);
    assert_eq!(
        publication.bundle_of(ProxyId(0)),
        publication.bundle_of(ProxyId(1))
    );
    assert_eq!(
        publication.last_version(),
        Version(41),
        "versions continue above those published before"
    );
    publication.set_weight(TableId(0), node(1), 25.0);
    assert_eq!(
        publication.publish(|_| String::new()),
        [],
        "unchanged content makes no new version"
    );
}

#[test]
fn a_bundle_with_two_changed_tables_gets_one_version() {
    let mut publication = publication();
    publication.bind(ProxyId(0), TableId(1), &[ORDER]);
    publication.set_weight(TableId(1), node(9), 1.0);
    publication.publish(|_| String::new());
    publication.set_weight(TableId(0), node(1), 0.0);
    publication.set_weight(TableId(1), node(8), 1.0);
    let published = publication.publish(|_| String::new());
    assert_eq!(
        published.len(),
        2,
        "the bundle with both tables and the bundle with the first one only"
    );
    let both = publication
        .bundle_of(ProxyId(0))
        .and_then(|id| publication.newest(id))
        .expect("bound");
    let entries = |operation: OperationId| both.operations[usize::from(operation.0)].entries.len();
    assert_eq!((entries(QUOTE), entries(ORDER)), (3, 2));
}

#[test]
fn entries_of_a_shared_table_count_once_and_policies_count_per_operation() {
    let mut publication = publication();
    publication.publish(|_| String::new());
    let bundle = publication.bundle_of(ProxyId(0)).expect("bound");
    let first = publication.newest(bundle).expect("published").clone();
    // Two operations share the table: its four entries count once, and the policy of each operation counts.
    assert_eq!(count_entry_changes(None, &first), 6);
    publication.set_weight(TableId(0), node(1), 0.0);
    publication.set_weight(TableId(0), node(2), 30.0);
    publication.set_admission(Some(TableId(0)), &[ORDER], 0.5, RetryPolicy::Never);
    publication.publish(|_| String::new());
    let second = publication.newest(bundle).expect("published").clone();
    assert_eq!(count_entry_changes(Some(&first), &second), 3);
    assert!(removes_entries(&first, &second) && !removes_entries(&second, &second));
}

#[test]
fn the_lower_admission_limit_applies_and_ejected_nodes_have_no_entries() {
    let mut publication = publication();
    publication.set_admission(None, &[], 0.5, RetryPolicy::OnceOnAnyFailure);
    publication.set_admission(Some(TableId(0)), &[QUOTE], 0.8, RetryPolicy::Never);
    publication.set_ejected(node(3), true);
    publication.publish(|_| String::new());
    let set = publication
        .newest(publication.bundle_of(ProxyId(0)).expect("bound"))
        .expect("published");
    let (quote, order) = (&set.operations[0], &set.operations[1]);
    assert_eq!(
        (quote.admission_limit, quote.retry, quote.entries.len()),
        (Some(0.5), RetryPolicy::Never, 3)
    );
    assert_eq!(
        (order.admission_limit, order.retry),
        (Some(0.5), RetryPolicy::OnceOnAnyFailure)
    );
}

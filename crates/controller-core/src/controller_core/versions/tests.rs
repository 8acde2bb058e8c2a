use super::*;

fn set(bundle: u32, version: u64) -> Arc<TableSet> {
    Arc::new(TableSet {
        bundle: BundleId(bundle),
        version: Version(version),
        configuration: 0,
        operations: Vec::new(),
    })
}

#[test]
fn only_the_newest_versions_of_each_table_are_retained() {
    let mut retained = RetainedVersions::default();
    retained.insert(set(1, 1));
    for version in 2..=MAX_RETAINED_PER_TABLE as u64 + 3 {
        retained.insert(set(0, version));
    }
    retained.trim();
    let versions: Vec<u64> = retained.iter().map(|set| set.version.0).collect();
    let newest = 4..=MAX_RETAINED_PER_TABLE as u64 + 3;
    assert_eq!(
        versions,
        [1].into_iter().chain(newest).collect::<Vec<u64>>(),
        "the only version of the other table is retained"
    );
    assert!(retained.get(Version(3)).is_none());
}

#[test]
fn a_version_is_retired_once_when_the_delay_after_its_last_use_ends() {
    let at = Moment::from_seconds;
    let delay = Span::from_seconds(20.0);
    let mut stored = StoredVersions::new(at(0.0), [Version(1), Version(2)]);
    stored.mark_used(at(15.0), Version(2));
    assert_eq!(stored.take_unused(at(19.9), delay), []);
    assert_eq!(stored.take_unused(at(20.0), delay), [Version(1)]);
    assert_eq!(stored.take_unused(at(34.9), delay), []);
    assert_eq!(stored.take_unused(at(35.0), delay), [Version(2)]);
}

#[test]
fn the_retire_delay_is_ten_update_delays_and_at_least_twenty_seconds() {
    let retire_after = |delay: f64| RETIRE_DELAY.span(Span::from_seconds(delay)).seconds();
    assert_eq!(retire_after(0.5), 20.0);
    assert_eq!(retire_after(3.0), 30.0);
}

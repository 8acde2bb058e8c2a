use super::*;
use wheelspread_xds::tables::Documents;

#[test]
fn tables_replaced_after_the_dial_and_before_the_watch_are_applied() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let root = TableRoot::new(directory.path());
    root.prepare().expect("root prepared");
    let response =
        |kind: &str| format!(r#"{{"versionInfo": "7", "typeUrl": "type.googleapis.com/{kind}"}}"#);
    let documents = Documents {
        eds: response("envoy.config.endpoint.v3.ClusterLoadAssignment"),
        rds: response("envoy.config.route.v3.RouteConfiguration"),
    };
    wheelspread_files::Swap::new(&root, Version(7), &documents, "g1")
        .run()
        .expect("tables replaced");
    let poll = Poll::new().expect("epoll created");
    let hour = Duration::from_secs(3600);
    for (dialed_at, is_applied) in [
        (SystemTime::now() - hour, true),
        (SystemTime::now() + hour, false),
    ] {
        let roots = vec![directory.path().to_path_buf()];
        let mut tables =
            TableFiles::new(&poll, Token(1), "g1", roots, false).expect("inotify created");
        let update = tables
            .follow(&poll, Token(1), 0, dialed_at)
            .expect("directory watched");
        assert_eq!(
            matches!(update, TableUpdate::New(_)),
            is_applied,
            "tables replaced before the dial: {}",
            !is_applied
        );
    }
}

//! The configuration that a platform hands out, right and wrong.

use wheelspread_platform::PlatformFile;

const FINE: &str = r#"{"name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "ff",
    "settings": {"peers_total": 1, "zones": ["a"], "kinds": ["k"],
        "classes": [{"name": "lookup", "aim": 1, "deadline": 3, "idempotency": "read_like"}],
        "rules": {"overload_factor": 4, "start_capacity": 0.2, "warm_after": 10},
        "extra": {"backlog": 9000, "head": 4, "period": 1, "proxy_count": 8, "push_delay_max": 0.5}}}"#;

/// What is said of it, without the path.
fn read(text: &str) -> Result<PlatformFile, String> {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("config.json");
    std::fs::write(&path, text).expect("written");
    let said = |error: wheelspread_platform::BadFile| error.to_string();
    PlatformFile::read(&path).map_err(|error| {
        let said = said(error);
        said.split_once(".json: ")
            .map_or(said.clone(), |(_, why)| why.to_string())
    })
}

#[test]
fn a_file_says_what_is_wrong_with_it() {
    assert_eq!(
        read("{}").map(drop),
        Err("`settings` are missing".to_string())
    );
    let bad = FINE.replace("127.0.0.1:8500", "nowhere");
    assert_eq!(
        read(&bad).map(drop),
        Err("`discovery` is no address: nowhere".to_string())
    );
    let bad = FINE.replace("\"backlog\": 9000, ", "");
    assert_eq!(
        read(&bad).map(drop),
        Err("in the settings, `extra.backlog` is missing".to_string())
    );
    let file = read(FINE).expect("fine");
    assert_eq!((file.seed, file.known, file.sockets), (255, None, 1024));
}

#[test]
fn a_spoilt_known_list_does_not_keep_a_conductor_from_starting() {
    let known =
        |known: &str| FINE.replace("\"settings\"", &format!("\"known\": {known}, \"settings\""));
    let node =
        r#"{"name": "x", "address": "127.0.0.9:80", "zone": "a", "type": "k", "status": "Ready"}"#;
    let spoilt =
        r#"{"name": "y", "address": "nowhere", "zone": "a", "type": "k", "status": "Ready"}"#;
    let list = format!(r#"{{"index": 4, "snapshot": true, "endpoints": [{spoilt}, {node}, 7]}}"#);
    let file = read(&known(&list)).expect("fine");
    let names: Vec<String> = file
        .known
        .expect("a list")
        .entries
        .into_iter()
        .map(|e| e.name)
        .collect();
    assert_eq!((names, file.refused.len()), (vec!["x".to_string()], 2));
    for none in [
        "{}",
        "[]",
        "\"old\"",
        r#"{"index": -1, "snapshot": true, "endpoints": []}"#,
    ] {
        let file = read(&known(none)).expect("fine");
        assert_eq!((file.known, file.refused.len()), (None, 1), "{none}");
    }
}

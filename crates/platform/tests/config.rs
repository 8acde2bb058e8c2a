//! The configuration that a platform hands out, right and wrong.

use wheelspread_platform::{ConfigError, PlatformConfig};

const FINE: &str = r#"{"name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "ff",
    "settings": {"peers_total": 1, "zones": ["a"], "kinds": ["k"],
        "classes": [{"name": "lookup", "aim": 1, "deadline": 3, "idempotency": "read_like"}],
        "rules": {"overload_factor": 4, "start_capacity": 0.2, "warm_after": 10},
        "extra": {"backlog": 9000, "head": 4, "period": 1, "proxy_count": 8, "push_delay_max": 0.5}}}"#;

/// The configuration in this text, or its error without the path.
fn read(text: &str) -> Result<PlatformConfig, String> {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("config.json");
    std::fs::write(&path, text).expect("written");
    PlatformConfig::read(&path).map_err(|error: ConfigError| {
        let text = error.to_string();
        text.split_once(".json: ")
            .map_or(text.clone(), |(_, why)| why.to_string())
    })
}

#[test]
fn an_error_names_the_field_and_what_is_wrong_with_it() {
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
    let config = read(FINE).expect("fine");
    assert_eq!(
        (config.seed, config.cached_list, config.socket_limit),
        (255, None, 1024)
    );
}

#[test]
fn an_invalid_known_list_does_not_keep_a_controller_from_starting() {
    let known =
        |known: &str| FINE.replace("\"settings\"", &format!("\"known\": {known}, \"settings\""));
    let node =
        r#"{"name": "x", "address": "127.0.0.9:80", "zone": "a", "type": "k", "status": "Ready"}"#;
    let spoilt =
        r#"{"name": "y", "address": "nowhere", "zone": "a", "type": "k", "status": "Ready"}"#;
    let list = format!(r#"{{"index": 4, "snapshot": true, "endpoints": [{spoilt}, {node}, 7]}}"#);
    let config = read(&known(&list)).expect("fine");
    let names: Vec<String> = config
        .cached_list
        .expect("a list")
        .entries
        .into_iter()
        .map(|e| e.name)
        .collect();
    assert_eq!(
        (names, config.cached_list_errors.len()),
        (vec!["x".to_string()], 2)
    );
    for none in [
        "{}",
        "[]",
        "\"old\"",
        r#"{"index": -1, "snapshot": true, "endpoints": []}"#,
    ] {
        let config = read(&known(none)).expect("fine");
        assert_eq!(
            (config.cached_list, config.cached_list_errors.len()),
            (None, 1),
            "{none}"
        );
    }
}

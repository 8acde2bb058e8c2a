//! Reading of valid and invalid platform configurations.

use wheelspread_platform::{ConfigError, PlatformConfig};

const VALID: &str = r#"{"name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "ff",
    "settings": {"peers_total": 1, "zones": ["a"], "kinds": ["k"],
        "classes": [{"name": "lookup", "aim": 1, "deadline": 3, "idempotency": "read_like"}],
        "rules": {"overload_factor": 4, "start_capacity": 0.2, "warm_after": 10},
        "extra": {"backlog": 9000, "head": 4, "period": 1, "proxy_count": 8, "push_delay_max": 0.5}}}"#;

/// Reads the configuration in this text; the error comes without the path.
fn read(text: &str) -> Result<PlatformConfig, String> {
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let path = directory.path().join("config.json");
    std::fs::write(&path, text).expect("write the file");
    PlatformConfig::read(&path).map_err(|error: ConfigError| {
        let text = error.to_string();
        text.split_once(".json: ")
            .map_or(text.clone(), |(_, error)| error.to_string())
    })
}

#[test]
fn an_error_names_the_field_and_what_is_wrong_with_it() {
    assert_eq!(
        read("{}").map(drop),
        Err("`settings` is missing or not an object".to_string())
    );
    let invalid = VALID.replace("127.0.0.1:8500", "nowhere");
    assert_eq!(
        read(&invalid).map(drop),
        Err("`discovery` is not an IPv4 address with a port: nowhere".to_string())
    );
    let invalid = VALID.replace("\"backlog\": 9000, ", "");
    assert_eq!(
        read(&invalid).map(drop),
        Err("in the settings, `extra.backlog` is missing".to_string())
    );
    let config = read(VALID).expect("the configuration is valid");
    assert_eq!(
        (config.seed, config.cached_list, config.socket_limit),
        (255, None, 1024)
    );
}

#[test]
fn invalid_parts_of_the_cached_list_are_ignored_and_reported() {
    let config_with_known =
        |known: &str| VALID.replace("\"settings\"", &format!("\"known\": {known}, \"settings\""));
    let valid_node =
        r#"{"name": "x", "address": "127.0.0.9:80", "zone": "a", "type": "k", "status": "Ready"}"#;
    let invalid_node =
        r#"{"name": "y", "address": "nowhere", "zone": "a", "type": "k", "status": "Ready"}"#;
    let list = format!(
        r#"{{"index": 4, "snapshot": true, "endpoints": [{invalid_node}, {valid_node}, 7]}}"#
    );
    let config = read(&config_with_known(&list)).expect("the configuration is valid");
    let names: Vec<String> = config
        .cached_list
        .expect("a list")
        .entries
        .into_iter()
        .map(|entry| entry.name)
        .collect();
    assert_eq!(
        (names, config.cached_list_errors.len()),
        (vec!["x".to_string()], 2)
    );
    for invalid_list in [
        "{}",
        "[]",
        "\"old\"",
        r#"{"index": -1, "snapshot": true, "endpoints": []}"#,
    ] {
        let config = read(&config_with_known(invalid_list)).expect("the configuration is valid");
        assert_eq!(
            (config.cached_list, config.cached_list_errors.len()),
            (None, 1),
            "{invalid_list}"
        );
    }
}

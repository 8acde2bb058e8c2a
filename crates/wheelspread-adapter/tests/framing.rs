//! Runs the adapter as a process. The input bytes are written by hand from the description of the wire format, not
//! with the adapter's own code.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"peers_total": 1, "zones": ["x"], "classes": [{"aim": 1.0, "deadline": 4.0,
    "idempotency": "read_like", "group": "all", "key_ttl": 5.0, "worth": 2.0, "unheard_of": [1, {"a": null}]}],
  "extra": {"backlog": 1000.0, "head": 6.0, "push_delay_max": 0.5, "proxy_count": 1, "period": 1.0,
    "admit": "ratio", "stays_local": [false]}, "feedback": {"fields": ["busy"], "via": "piggyback"},
  "rules": {"overload_factor": 4.0, "start_capacity": 0.16, "warm_after": 18.0, "stop_sending_within": 2.0}}"#;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text
        .bytes()
        .filter(|byte| !byte.is_ascii_whitespace())
        .collect();
    digits
        .chunks(2)
        .map(|two| u8::from_str_radix(std::str::from_utf8(two).unwrap(), 16).unwrap())
        .collect()
}

fn batch(count: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(hex("508d976e12d32040"));
    bytes.extend(count.to_le_bytes());
    bytes.extend(body);
    bytes
}

fn boot(settings: &str) -> Vec<u8> {
    let mut body = hex("15 0300 4d00000000000000");
    body.extend((settings.len() as u32).to_le_bytes());
    body.extend(settings.as_bytes());
    // The cached endpoint list of controller 3: one ready node in zone 0.
    body.extend(hex(
        "1c 0300 00 29000000 01000000  0a124a07 931f 0000 00 0000 01 0000803f 0000000000000000",
    ));
    body
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wheelspread-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run(&hex("00000000 508d976e12d32040 00000000"));
    assert_eq!(output.stdout, hex("00000000 00000000"));
    assert!(output.status.success());
}

#[test]
fn a_joining_proxy_is_bound_to_a_table_with_entries() {
    let mut body = boot(SETTINGS);
    body.extend(hex("18 0300 2900 0000 0000d040 01"));
    let output = run(&batch(3, &body));
    let weight = hex("16 0300 0000 0a124a07 931f 0000c842"); // SET_WEIGHT: table 0, the node, weight 100
    let bind = hex("15 0300 2900 0000 0100"); // BIND_TABLE: proxy 41, table 0, the first operation
    let marker = hex("11 0300 01000000 00"); // MARKER: marker 1, not to all proxies
    let position_of = |part: &[u8]| {
        output
            .stdout
            .windows(part.len())
            .position(|window| window == part)
    };
    assert!(
        position_of(&weight) < position_of(&bind) && position_of(&bind) < position_of(&marker),
        "{:02x?}",
        output.stdout
    );
    assert!(position_of(&weight).is_some(), "{}", stderr_of(&output));
    let size = u32::from_le_bytes(output.stdout[4..8].try_into().unwrap());
    assert_eq!(output.stdout.len(), 8 + size as usize);
    assert_eq!(stderr_of(&output), "");
}

#[test]
fn errors_name_the_index_and_offset_of_the_record() {
    let mut body = hex("10 0300 4d00000000000000");
    body.extend(hex("63 0300 1111"));
    let output = run(&batch(2, &body));
    assert!(stderr_of(&output)
        .contains("record 0 at offset 0: event for controller 3, which is not running"));
    assert!(
        stderr_of(&output).contains("record 1 at offset 11: unknown event code 99"),
        "{}",
        stderr_of(&output)
    );
    assert_eq!(output.stdout, hex("00000000 00000000"));

    let output = run(&batch(1, &hex("12 0300 0000 0a124a07 931f 0e000000")));
    assert!(
        stderr_of(&output)
            .contains("record 0 at offset 0: field is truncated: expected 4 bytes, 0 remain"),
        "{}",
        stderr_of(&output)
    );

    let output = run(&batch(1, &hex("1b 0300 ffff")));
    assert!(
        stderr_of(&output).contains("2 bytes left after 1 records at offset 3"),
        "{}",
        stderr_of(&output)
    );
}

#[test]
fn events_of_unknown_proxies_and_nodes_are_reported_and_change_nothing() {
    let mut body = boot(SETTINGS);
    body.extend(hex("14 0300 2900")); // proxy 41 never joined
    body.extend(hex(
        "12 0300 0000 0a9011f2 bc1f 0e000000 01000000 4e62105839b4a83f 000000000000f03f 00",
    ));
    let output = run(&batch(4, &body));
    assert!(
        stderr_of(&output).contains("record 2"),
        "{}",
        stderr_of(&output)
    );
    assert!(stderr_of(&output).contains("left but never joined"));
    assert!(stderr_of(&output).contains("load report for unknown node"));
    assert!(output.status.success());
}

#[test]
fn invalid_settings_are_reported_by_the_failure_action() {
    let output = run(&batch(2, &boot(&SETTINGS.replace("\"period\": 1.0,", ""))));
    let text = b"setting sums.period is missing";
    assert_eq!(&output.stdout[..4], hex("01000000"));
    assert_eq!(output.stdout[8..13], hex("1b 0300 1e00"));
    assert_eq!(&output.stdout[13..], text);
    let output = run(&batch(
        2,
        &boot(&SETTINGS.replace("\"head\": 6.0", "\"head\": \"six\"")),
    ));
    assert!(
        stderr_of(&output).contains("setting channel.head_lines should be a number"),
        "{}",
        stderr_of(&output)
    );
}

#[test]
fn input_that_ends_inside_a_batch_ends_the_process_with_an_error() {
    let complete = batch(2, &boot(SETTINGS));
    let output = run(&complete[..complete.len() - 5]);
    assert!(
        !output.status.success() && stderr_of(&output).contains("input ends inside a batch body")
    );
    let output = run(&complete[..7]);
    assert!(
        !output.status.success() && stderr_of(&output).contains("7 of 16 bytes"),
        "{}",
        stderr_of(&output)
    );
}

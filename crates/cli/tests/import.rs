//! `wheelspread import nginx`: controllers accept the files that it writes, and existing files are never overwritten.

mod common;

use common::{run_to_end, PROGRAM};
use std::path::Path;
use std::process::Command;
use test_case::test_case;

fn run_program(arguments: &[&str]) -> (i32, String) {
    run_to_end(Command::new(PROGRAM).args(arguments))
}

fn sample(name: &str) -> String {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/tests/samples");
    samples.join(name).display().to_string()
}

#[test_case("plain.conf", &["quotes"]; "one pool")]
#[test_case("odd.conf", &["odd", "127-0-0-1-9300"]; "unusual addresses and pool names")]
#[test_case("included/main.conf", &["a", "b"]; "included files")]
fn imported_files_are_valid_controller_configurations(name: &str, pools: &[&str]) {
    let directory = tempfile::tempdir().expect("a directory");
    let out = directory.path().join("out").display().to_string();
    let (code, output) = run_program(&[
        "import",
        "nginx",
        &sample(name),
        "--out",
        &out,
        "--zone",
        "halle",
    ]);
    assert_eq!(code, 0, "{output}");
    assert!(
        output.contains("not carried over:") && output.contains("to be looked at:"),
        "{output}"
    );
    for pool in pools {
        let file = format!("{out}/{pool}/conductor.yaml");
        let (code, output) = run_program(&["check", &file]);
        assert!(code == 0 && output.contains("nothing is wrong"), "{output}");
    }
    assert_eq!(
        std::fs::read_dir(&out).expect("written").count(),
        pools.len()
    );
    let (code, output) = run_program(&["import", "nginx", &sample(name), "--out", &out]);
    assert!(code == 2 && output.contains("is there already"), "{output}");
    assert_eq!(
        run_program(&["import", "nginx", &sample(name), "--strict"]).0,
        1
    );
}

#[test]
fn an_unreadable_configuration_is_reported_and_nothing_is_written() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("nginx.conf");
    let out = directory.path().join("out");
    let (file, out_text) = (path.display().to_string(), out.display().to_string());
    for (text, expected) in [
        (
            "upstream a { server 127.0.0.1:1; }\nserver { location / { proxy_pass http://a }",
            ":2: `proxy_pass` has no ;",
        ),
        ("include nginx.conf;", "include each other"),
    ] {
        std::fs::write(&path, text).expect("written");
        let (code, output) = run_program(&["import", "nginx", &file, "--out", &out_text]);
        assert!(code == 2 && output.contains(expected), "{output}");
    }
    std::fs::write(&path, "events { }").expect("written");
    assert_eq!(
        run_program(&["import", "nginx", &file, "--out", &out_text]).0,
        1,
        "a configuration without a pool must fail"
    );
    assert!(!out.exists());
    let (code, output) = run_program(&["import", "nginx", &format!("{file}.none")]);
    assert!(code == 2 && output.contains("nginx.conf.none"), "{output}");
}

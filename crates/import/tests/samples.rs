//! Sample files with known results; notation that can't be read; every directive accounted for.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use test_case::test_case;
use wheelspread_import::{load, parse, pools, Directive, Imported, Loaded};

fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/samples")
}

/// What an import brought, in lines.
fn summary(imported: &Imported, base: &Path) -> String {
    let mut text = String::new();
    let base = format!("{}/", base.display());
    for pool in &imported.pools {
        let idle = pool
            .connection_idle
            .map_or("-".to_string(), |idle| format!("{} s", idle.seconds()));
        writeln!(
            text,
            "pool {} (avoided after {} errors, idle {idle})",
            pool.name, pool.errors_until_avoided
        )
        .expect("text");
        for server in &pool.servers {
            let [a, b, c, d] = server.node.address;
            writeln!(
                text,
                "  node {a}.{b}.{c}.{d}:{} weight {}",
                server.node.port, server.weight
            )
            .expect("text");
        }
        for operation in &pool.operations {
            let seconds = operation.integration_timeout.seconds();
            writeln!(
                text,
                "  operation {} ({}) {seconds} s {:?}",
                operation.name, operation.location, operation.repeat
            )
            .expect("text");
        }
    }
    for outcome in &imported.outcomes {
        let fate = format!("{:?}", outcome.fate).to_lowercase();
        writeln!(
            text,
            "{fate}: {} {}: {}",
            outcome.at.replace(&base, ""),
            outcome.text,
            outcome.why
        )
        .expect("text");
    }
    text
}

fn each<'a>(directives: &'a [Directive], all: &mut Vec<&'a Directive>) {
    for directive in directives {
        all.push(directive);
        each(directive.block.as_deref().unwrap_or_default(), all);
    }
}

/// Every directive that was read has an outcome at its place.
fn accounted(loaded: &Loaded, imported: &Imported) {
    let mut all = Vec::new();
    each(&loaded.directives, &mut all);
    let recorded: BTreeSet<(&str, &str)> = imported
        .outcomes
        .iter()
        .map(|outcome| (outcome.at.as_str(), outcome.text.as_str()))
        .collect();
    for directive in &all {
        let at = directive.place.to_string();
        assert!(
            recorded.contains(&(at.as_str(), directive.text().as_str())),
            "{at} {} was dropped",
            directive.text()
        );
    }
    assert_eq!(
        imported.read,
        all.len() + loaded.missing.len() + loaded.followed
    );
}

#[test_case("plain.conf", include_str!("samples/plain.expected"); "two locations over one upstream, down and backup")]
#[test_case("odd.conf", include_str!("samples/odd.expected"); "weights in odd places and all that can't be carried")]
#[test_case("included/main.conf", include_str!("samples/included/main.expected"); "included files, some missing")]
fn a_sample_comes_to_what_is_known(name: &str, expected: &str) {
    let path = samples().join(name);
    let loaded = load(&path).expect("it is read");
    let imported = pools(&loaded);
    accounted(&loaded, &imported);
    let base = path.parent().expect("a directory");
    let summary = summary(&imported, base);
    assert_eq!(summary, expected);
}

#[test_case("upstream a { server 127.0.0.1:1;", "x.conf:1: a block is not closed"; "a block without end")]
#[test_case("upstream a {\n server 127.0.0.1:1\n}", "x.conf:3: `server` has no ; at its end"; "no semicolon")]
#[test_case("a;\n}", "x.conf:2: a } closes nothing"; "one brace too many")]
#[test_case("a 'b;\n", "x.conf:1: a ' is not closed"; "a quote without end")]
#[test_case("a;;", "x.conf:1: a directive without a name"; "an empty directive")]
#[test_case("a;\ncontent_by_lua_block { t = {1; 2} ", "x.conf:2: a block is not closed"; "another language without end")]
fn what_is_no_configuration_is_named_with_its_line(text: &str, message: &str) {
    let error = parse(text, Path::new("x.conf")).expect_err("it can't be read");
    assert_eq!(error.to_string(), message);
}

#[test]
fn blocks_of_another_language_are_passed_over_by_their_braces() {
    let text =
        "location /x { content_by_lua_block { t = {1; 2} -- };\n } }\n proxy_pass http://a; }";
    assert!(
        parse(text, Path::new("x.conf")).is_err(),
        "a brace in a comment of lua closes, as for nginx"
    );
    let text = "content_by_lua_block { t = {1; 2}\n f(';') }\nserver_name ${host}x a\\;b;";
    let read = parse(text, Path::new("x.conf")).expect("it is read");
    assert_eq!(read.len(), 2);
    assert_eq!(read[1].arguments, ["${host}x", "a\\;b"]);
    assert_eq!(read[1].place.line, 3);
}

#[test]
fn files_that_include_each_other_end_with_an_error_and_not_never() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("a.conf");
    std::fs::write(&path, "include a.conf;").expect("written");
    let error = load(&path).expect_err("it goes round").to_string();
    assert!(error.contains("include each other"), "{error}");
    assert!(load(&directory.path().join("none.conf")).is_err());
}

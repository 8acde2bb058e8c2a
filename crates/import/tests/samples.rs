//! Tests of imports: sample files with known results, syntax errors, and that every directive has an outcome.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use test_case::test_case;
use wheelspread_import::{load, parse, pools, Directive, Imported, Loaded};

fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/samples")
}

/// The result of an import as lines of text.
fn summary(imported: &Imported, base: &Path) -> String {
    let mut text = String::new();
    let base = format!("{}/", base.display());
    for pool in &imported.pools {
        let idle = pool
            .idle_timeout
            .map_or("-".to_string(), |idle| format!("{} s", idle.seconds()));
        writeln!(
            text,
            "pool {} (avoided after {} errors, idle {idle})",
            pool.name, pool.errors_until_ejected
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
                operation.name, operation.location, operation.retry_class
            )
            .expect("text");
        }
    }
    for outcome in &imported.outcomes {
        let disposition = format!("{:?}", outcome.disposition).to_lowercase();
        writeln!(
            text,
            "{disposition}: {} {}: {}",
            outcome.position.replace(&base, ""),
            outcome.text,
            outcome.reason
        )
        .expect("text");
    }
    text
}

fn flatten<'a>(directives: &'a [Directive], all: &mut Vec<&'a Directive>) {
    for directive in directives {
        all.push(directive);
        flatten(directive.block.as_deref().unwrap_or_default(), all);
    }
}

/// Asserts that every directive that was read has an outcome at its place.
fn assert_outcomes_complete(loaded: &Loaded, imported: &Imported) {
    let mut all = Vec::new();
    flatten(&loaded.directives, &mut all);
    let recorded: BTreeSet<(&str, &str)> = imported
        .outcomes
        .iter()
        .map(|outcome| (outcome.position.as_str(), outcome.text.as_str()))
        .collect();
    for directive in &all {
        let position = directive.position.to_string();
        assert!(
            recorded.contains(&(position.as_str(), directive.text().as_str())),
            "{position} {} was dropped",
            directive.text()
        );
    }
    assert_eq!(
        imported.directive_count,
        all.len() + loaded.missing.len() + loaded.followed_includes
    );
}

#[test_case("plain.conf", include_str!("samples/plain.expected"); "two locations over one upstream, down and backup")]
#[test_case("odd.conf", include_str!("samples/odd.expected"); "unusual parameters, and directives that can't be carried over")]
#[test_case("included/main.conf", include_str!("samples/included/main.expected"); "included files, some missing")]
fn a_sample_file_gives_the_expected_result(name: &str, expected: &str) {
    let path = samples().join(name);
    let loaded = load(&path).expect("valid syntax");
    let imported = pools(&loaded);
    assert_outcomes_complete(&loaded, &imported);
    let base = path.parent().expect("a directory");
    let summary = summary(&imported, base);
    assert_eq!(summary, expected);
}

#[test_case("upstream a { server 127.0.0.1:1;", "x.conf:1: a block is not closed"; "a block without end")]
#[test_case("upstream a {\n server 127.0.0.1:1\n}", "x.conf:3: `server` has no ; at its end"; "no semicolon")]
#[test_case("a;\n}", "x.conf:2: a } closes nothing"; "a brace without a block")]
#[test_case("a 'b;\n", "x.conf:1: a ' is not closed"; "a quote without end")]
#[test_case("a;;", "x.conf:1: a directive without a name"; "an empty directive")]
#[test_case("a;\ncontent_by_lua_block { t = {1; 2} ", "x.conf:2: a block is not closed"; "a Lua block without end")]
fn a_syntax_error_names_the_file_and_the_line(text: &str, message: &str) {
    let error = parse(text, Path::new("x.conf")).expect_err("a syntax error");
    assert_eq!(error.to_string(), message);
}

#[test]
fn a_lua_block_is_skipped_by_counting_braces() {
    let text =
        "location /x { content_by_lua_block { t = {1; 2} -- };\n } }\n proxy_pass http://a; }";
    assert!(
        parse(text, Path::new("x.conf")).is_err(),
        "a brace in a Lua comment closes the block, as in nginx"
    );
    let text = "content_by_lua_block { t = {1; 2}\n f(';') }\nserver_name ${host}x a\\;b;";
    let read = parse(text, Path::new("x.conf")).expect("valid syntax");
    assert_eq!(read.len(), 2);
    assert_eq!(read[1].arguments, ["${host}x", "a\\;b"]);
    assert_eq!(read[1].position.line, 3);
}

#[test]
fn including_files_in_a_cycle_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("a.conf");
    std::fs::write(&path, "include a.conf;").expect("written");
    let error = load(&path).expect_err("a cycle").to_string();
    assert!(error.contains("include each other"), "{error}");
    assert!(load(&directory.path().join("none.conf")).is_err());
}

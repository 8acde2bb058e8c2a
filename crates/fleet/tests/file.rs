//! Tests of fleet files: the controllers that a file lists, and the error text of each problem.

use std::path::Path;
use test_case::test_case;
use wheelspread_fleet::{ControllerAddress, FleetFile};

fn open(directory: &Path, text: &str) -> Result<wheelspread_fleet::Fleet, String> {
    let path = directory.join("fleet.yaml");
    std::fs::write(&path, text).expect("written");
    let file = FleetFile::read(&path).expect("a fleet file");
    file.open().map_err(|error| error.to_string())
}

#[test_case("{}", "no conductor is named, and none was found under `roots`"; "an empty file")]
#[test_case("conductors: [{name: a}]", "conductors.0: either a root or an address is expected"; "neither root nor address")]
#[test_case("conductors: [{name: a, root: x}, {name: b, address: \"127.0.0.1:1\"}]", "conductors.1: an address needs the keys of `tls`"; "an address without keys")]
#[test_case("conductors: [{name: \"\", root: x}]", "conductors.0: a name is expected"; "no name")]
#[test_case("conductors: [{name: a, root: x}, {name: a, root: y}]", "conductors.1: `a` is named twice"; "a duplicate name")]
#[test_case("conductors: [{name: a, root: x}]\nwithin: 11m", "within: should lie between 50ms and 10m"; "an answer timeout above the limit")]
#[test_case("conductors: [{name: \"\"}]\nwithin: 1ms", "conductors.0: either a root or an address is expected\nconductors.0: a name is expected\nwithin: should lie between 50ms and 10m"; "all problems at once")]
fn an_invalid_file_is_an_error_that_lists_every_problem(text: &str, problem: &str) {
    let directory = tempfile::tempdir().expect("a directory");
    let error = open(directory.path(), text).expect_err("refused");
    assert_eq!(error, problem);
}

#[test]
fn a_missing_directory_of_roots_is_an_error_that_names_its_path() {
    let directory = tempfile::tempdir().expect("a directory");
    let error = open(directory.path(), "roots: missing").expect_err("refused");
    let path = directory.path().join("missing");
    assert!(
        error.starts_with(&format!("roots: {}: ", path.display())),
        "{error}"
    );
}

#[test]
fn controllers_are_found_by_their_lock_file_and_listed_ones_take_precedence() {
    let directory = tempfile::tempdir().expect("a directory");
    let root = |name: &str| directory.path().join("roots").join(name);
    for (name, tables) in [("a", "tables"), ("b", ""), ("c", "tables")] {
        std::fs::create_dir_all(root(name).join(tables)).expect("made");
        std::fs::write(root(name).join(tables).join("lock"), "").expect("written");
    }
    std::fs::create_dir_all(root("empty")).expect("made");
    let text = "conductors: [{name: c, root: elsewhere}]\nroots: roots";
    let fleet = open(directory.path(), text).expect("a fleet");
    let sockets: Vec<_> = fleet
        .controllers
        .iter()
        .map(|(name, address)| match address {
            ControllerAddress::Unix(path) => (name.as_str(), path.clone()),
            ControllerAddress::Tls { .. } => panic!("no keys were given"),
        })
        .collect();
    let expected = [
        ("a", root("a").join("tables/admin.sock")),
        ("b", root("b").join("admin.sock")),
        ("c", directory.path().join("elsewhere/admin.sock")),
    ];
    assert_eq!(sockets, expected);
}

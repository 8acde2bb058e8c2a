use super::*;
use wheelspread::time::Span;

#[test]
fn a_rename_into_a_directory_and_its_removal_are_reported() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut poll = Poll::new().expect("epoll");
    let mut watcher = Watcher::new(&poll, Token(3)).expect("inotify");
    watcher.add(directory.path()).expect("watches");
    std::os::unix::fs::symlink("somewhere", directory.path().join(".new"))
        .expect("creates the link");
    std::fs::rename(
        directory.path().join(".new"),
        directory.path().join("current"),
    )
    .expect("renames");
    let mut ready = Vec::new();
    poll.wait(Span::from_seconds(5.0), &mut ready)
        .expect("waits");
    let name = "current".to_string();
    let expected = FsEvent::File {
        directory: directory.path().to_path_buf(),
        name,
    };
    assert_eq!(watcher.events().expect("reads"), [expected]);
    std::fs::remove_file(directory.path().join("current")).expect("removes");
    std::fs::remove_dir(directory.path()).expect("removes");
    assert!(watcher
        .events()
        .expect("reads")
        .iter()
        .any(|event| matches!(event, FsEvent::Removed { .. })));
}

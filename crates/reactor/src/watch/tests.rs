use super::*;
use wheelspread::time::Span;

#[test]
fn a_rename_into_a_directory_is_reported_with_its_name() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut poll = Poll::new().expect("epoll");
    let mut watcher = Watcher::new(&poll, Token(3)).expect("inotify");
    watcher.add(directory.path()).expect("it is a directory");
    std::os::unix::fs::symlink("somewhere", directory.path().join(".new")).expect("made");
    std::fs::rename(
        directory.path().join(".new"),
        directory.path().join("current"),
    )
    .expect("moved");
    let mut ready = Vec::new();
    poll.wait(Span::from_seconds(5.0), &mut ready)
        .expect("waits");
    let name = "current".to_string();
    let wanted = FsEvent::File {
        directory: directory.path().to_path_buf(),
        name,
    };
    assert_eq!(watcher.events().expect("reads"), [wanted]);
    std::fs::remove_file(directory.path().join("current")).expect("removed");
    std::fs::remove_dir(directory.path()).expect("removed");
    assert!(watcher
        .events()
        .expect("reads")
        .iter()
        .any(|moved| matches!(moved, FsEvent::Removed { .. })));
}

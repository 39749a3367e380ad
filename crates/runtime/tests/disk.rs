//! The data directory in the machine's file system.

use std::path::PathBuf;
use vanewharf_runtime::environment::{Environment, FileOperation};

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

/// Returns a path for one test at which nothing exists yet.
fn fresh_path(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("vanewharf-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn write(file: &str, content: &str) -> FileOperation {
    FileOperation::Write { file: file.to_owned(), bytes: content.as_bytes().to_vec() }
}

fn sync(file: &str) -> FileOperation {
    FileOperation::Sync { file: file.to_owned() }
}

fn rename(from: &str, to: &str) -> FileOperation {
    FileOperation::Rename { from: from.to_owned(), to: to.to_owned() }
}

#[test]
fn a_replaced_file_is_read_after_a_restart() {
    let path = fresh_path("replace");
    let directory = Environment::of_machine(Some(path.clone())).expect("created").directory.expect("given");
    let operations = vec![
        write("record.new", "1"),
        sync("record.new"),
        rename("record.new", "record"),
        FileOperation::SyncDirectory,
    ];
    block_on(directory.execute(operations)).expect("executed");
    let reopened = Environment::of_machine(Some(path.clone())).expect("opened").directory.expect("given");
    let files = reopened.read_all().expect("read");
    assert_eq!(files, [("record".to_owned(), b"1".to_vec())].into());
    std::fs::remove_dir_all(path).expect("removed");
}

#[test]
fn operations_after_a_failed_one_are_not_executed() {
    let path = fresh_path("failure");
    let directory = Environment::of_machine(Some(path.clone())).expect("created").directory.expect("given");
    let operations = vec![write("a", "1"), rename("missing", "b"), write("c", "3")];
    assert!(block_on(directory.execute(operations)).is_err());
    let files = directory.read_all().expect("read");
    assert_eq!(files.keys().collect::<Vec<_>>(), ["a"]);
    std::fs::remove_dir_all(path).expect("removed");
}

use super::*;
use std::fs;
use std::path::Path;
use vanewharf_runtime::environment::Environment;

fn open_directory(path: &Path) -> Rc<dyn Directory> {
    Environment::of_machine(Some(path.to_owned())).expect("a folder").directory.expect("there is one")
}

fn load(path: &Path) -> StoredRecords {
    StoredRecords::load(&*open_directory(path)).expect("it can be read")
}

/// The register's record, and how many files are corrupt.
fn load_register(path: &Path) -> (Option<String>, usize) {
    let stored = load(path);
    (stored.decode(Record::Register), stored.corrupt_files.len())
}

#[test]
fn the_newest_intact_copy_is_loaded_however_the_last_write_was_torn_or_corrupted() {
    let dir = tempfile::tempdir().expect("a folder");
    assert!(load(dir.path()).is_empty());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    for (write_number, body) in [(1, "\"one\""), (2, "\"two\""), (3, "\"three\"")] {
        let newest_before = [None, Some("one"), Some("two")][write_number as usize - 1];
        assert_eq!(load_register(dir.path()).0.as_deref(), newest_before);
        let operations = write_operations(Record::Register, write_number, body.as_bytes(), false);
        runtime.block_on(open_directory(dir.path()).execute(operations)).expect("written");
    }
    let path = dir.path().join(Record::Register.file_name(3));
    let content = fs::read(&path).expect("written");
    // At every length that a loss of power may leave, and with any byte of it wrong.
    for length in 0..content.len() {
        fs::write(&path, &content[..length]).expect("torn");
        assert_eq!(load_register(dir.path()).0.as_deref(), Some("two"), "at {length}");
        let mut corrupted = content.clone();
        corrupted[length] ^= 1;
        fs::write(&path, &corrupted).expect("corrupted");
        assert_eq!(load_register(dir.path()), (Some("two".to_owned()), 1), "byte {length}");
    }
    fs::write(&path, &content).expect("intact");
    assert_eq!(load_register(dir.path()).0.as_deref(), Some("three"));
}

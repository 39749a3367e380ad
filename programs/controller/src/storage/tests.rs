use super::*;
use std::fs;
use std::path::Path;
use vanewharf_runtime::environment::Environment;

fn folder(dir: &Path) -> Rc<dyn Directory> {
    Environment::of_machine(Some(dir.to_owned())).expect("a folder").directory.expect("there is one")
}

fn bodies(dir: &Path) -> (Option<String>, usize) {
    let found = find(&*folder(dir)).expect("it can be read");
    (found.record(Record::Register), found.spoilt.len())
}

#[test]
fn the_last_whole_copy_stands_however_the_next_was_torn() {
    let dir = tempfile::tempdir().expect("a folder");
    assert!(find(&*folder(dir.path())).expect("it can be read").nothing());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    for (write, body) in [(1, "\"one\""), (2, "\"two\""), (3, "\"three\"")] {
        assert_eq!(bodies(dir.path()).0.as_deref(), [None, Some("one"), Some("two")][write as usize - 1]);
        let written = folder(dir.path()).execute(copy(Record::Register, write, body.as_bytes(), false));
        runtime.block_on(written).expect("written");
    }
    let path = dir.path().join(Record::Register.file(1));
    let text = fs::read(&path).expect("written");
    // Timestamp every length that a loss of power may leave, and with any byte of it wrong.
    for length in 0..text.len() {
        fs::write(&path, &text[..length]).expect("torn");
        assert_eq!(bodies(dir.path()).0.as_deref(), Some("two"), "at {length}");
        let mut spoilt = text.clone();
        spoilt[length] ^= 1;
        fs::write(&path, &spoilt).expect("spoilt");
        assert_eq!(bodies(dir.path()), (Some("two".to_owned()), 1), "byte {length}");
    }
    fs::write(&path, &text).expect("whole");
    assert_eq!(bodies(dir.path()).0.as_deref(), Some("three"));
}

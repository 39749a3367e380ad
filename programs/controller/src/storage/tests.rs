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
    (stored.decode(Record::Register).expect("a text"), stored.corrupt_files.len())
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

/// A disk with both records; of the register there are two writes, and one of the voter's record.
async fn write_records(path: &Path) -> Storage {
    let storage = Storage::start(open_directory(path), &load(path));
    storage.save(Record::Voter, &"voter").await.expect("written");
    for body in ["one", "two"] {
        storage.save(Record::Register, &body).await.expect("written");
    }
    storage
}

fn marks_on_disk(path: &Path) -> SyncedMarks {
    fs::read(path.join(synced_marks::FILE_NAME))
        .map(|content| SyncedMarks::read(&content))
        .unwrap_or_default()
}

async fn wait_for_marks(path: &Path, numbers: [u64; 2]) {
    while marks_on_disk(path) != SyncedMarks::of_write_numbers(numbers) {
        tokio::task::yield_now().await;
    }
}

fn run_local(test: impl Future<Output = ()>) {
    vanewharf_runtime::log::disable();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(test));
}

fn lost_records(path: &Path) -> Vec<Record> {
    load(path).lost_records.iter().map(|lost| lost.record).collect()
}

fn newest_register(path: &Path) -> std::path::PathBuf {
    path.join(Record::Register.file_name(2))
}

#[test]
fn a_damaged_copy_that_was_durable_is_a_lost_disk_and_a_torn_one_is_not() {
    run_local(async {
        let dir = tempfile::tempdir().expect("a folder");
        // Dropped without marks.
        write_records(dir.path()).await;
        let content = fs::read(newest_register(dir.path())).expect("written");
        let damaged = |length: usize| {
            let mut damaged = content.clone();
            damaged[length] ^= 4;
            [content[..length].to_vec(), damaged]
        };
        // As far as can be told, the write was never finished.
        for bytes in (0..content.len()).flat_map(damaged) {
            fs::write(newest_register(dir.path()), &bytes).expect("damaged");
            assert_eq!(lost_records(dir.path()), []);
            assert_eq!(load_register(dir.path()).0.as_deref(), Some("one"));
        }
        fs::write(newest_register(dir.path()), &content).expect("whole");
        let _storage = Storage::start(open_directory(dir.path()), &load(dir.path()));
        wait_for_marks(dir.path(), [1, 2]).await;
        assert_eq!(lost_records(dir.path()), []);
        assert_eq!(load_register(dir.path()).0.as_deref(), Some("two"));
        for bytes in (0..content.len()).flat_map(damaged) {
            fs::write(newest_register(dir.path()), &bytes).expect("damaged");
            assert_eq!(lost_records(dir.path()), [Record::Register]);
            assert_eq!(load_register(dir.path()).0, None);
            assert_eq!(load(dir.path()).decode::<String>(Record::Voter).expect("a text"), None);
        }
        fs::remove_file(newest_register(dir.path())).expect("gone");
        assert_eq!(lost_records(dir.path()), [Record::Register]);
    });
}

#[test]
fn a_lost_disk_stays_lost_until_both_records_are_written_anew() {
    run_local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path();
        let storage = write_records(path).await;
        wait_for_marks(path, [1, 2]).await;
        drop(storage);
        fs::write(newest_register(path), "damaged").expect("damaged");
        let storage = Storage::start(open_directory(path), &load(path));
        assert_eq!(lost_records(path), [Record::Register]);
        storage.save(Record::Register, &"recovered").await.expect("written");
        // The voter's record that is on disk was that of before the loss.
        assert_eq!(lost_records(path), [Record::Voter]);
        assert!(load(path).decode::<String>(Record::Voter).expect("a text").is_none());
        storage.save(Record::Voter, &"recovered").await.expect("written");
        assert_eq!(lost_records(path), []);
        assert_eq!(load_register(path).0.as_deref(), Some("recovered"));
        assert!(path.join("register-0.json.spoilt").exists(), "what was found is kept");
        let storage = Storage::start(open_directory(path), &load(path));
        storage.save(Record::Register, &"next").await.expect("written");
        assert_eq!((lost_records(path), load_register(path).0.as_deref()), (vec![], Some("next")));
    });
}

fn write_copy(path: &Path, file: &str, write_number: u64, body: &str) {
    fs::write(path.join(file), encode_copy(write_number, body.as_bytes())).expect("written");
}

#[test]
fn copies_that_this_program_cannot_have_written_are_not_adopted() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path();
    write_copy(path, "register-1.json", 1, "\"one\"");
    write_copy(path, "register-0.json", 2, "\"two\"");
    assert_eq!(load_register(path), (Some("two".to_owned()), 0));
    // A number far from that of the other copy: one of them is not of this disk.
    write_copy(path, "register-0.json", 40, "\"future\"");
    assert_eq!(lost_records(path), [Record::Register]);
    assert_eq!(load_register(path), (None, 2));
    // A number that is no write's, or that of the other file: it is set aside like a torn copy.
    write_copy(path, "register-0.json", u64::MAX - 1, "\"huge\"");
    assert_eq!(load_register(path), (Some("one".to_owned()), 1));
    write_copy(path, "register-0.json", 3, "\"misplaced\"");
    assert_eq!(load_register(path), (Some("one".to_owned()), 1));
    // An intact copy of another form.
    write_copy(path, "register-0.json", 2, "{\"form\":9}");
    let mut stored = load(path);
    assert_eq!(stored.decode_all::<String, String>(), (None, None));
    let reason = LossReason::UnknownForm;
    assert_eq!(stored.lost_records, [LostRecord { record: Record::Register, reason }]);
    assert!(!stored.is_empty());
}

use super::*;
use std::fs;
use std::path::Path;
use vanewharf_runtime::environment::Environment;

fn open_directory(path: &Path) -> Rc<dyn Directory> {
    let environment = Environment::of_machine(Some(path.to_owned())).expect("a data directory");
    environment.directory.expect("a data directory was passed")
}

fn load(path: &Path) -> StoredRecords {
    StoredRecords::load(&*open_directory(path)).expect("the records are readable")
}

/// Loads the register's record, and the number of corrupt files.
fn load_register(path: &Path) -> (Option<String>, usize) {
    let stored = load(path);
    (stored.decode(Record::Register).expect("a decodable record"), stored.corrupt_files.len())
}

#[test]
fn the_newest_intact_copy_is_loaded_if_the_last_write_is_torn_or_corrupt() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    assert!(load(dir.path()).is_empty());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    for (write_number, body) in [(1, "\"one\""), (2, "\"two\""), (3, "\"three\"")] {
        let newest_before = [None, Some("one"), Some("two")][write_number as usize - 1];
        assert_eq!(load_register(dir.path()).0.as_deref(), newest_before);
        let operations = write_operations(Record::Register, write_number, body.as_bytes(), false);
        runtime.block_on(open_directory(dir.path()).execute(operations)).expect("the copy is written");
    }
    let path = dir.path().join(Record::Register.file_name(3));
    let content = fs::read(&path).expect("the copy exists");
    // The last write is truncated to each length that a power loss may leave, and corrupted at each byte.
    for length in 0..content.len() {
        fs::write(&path, &content[..length]).expect("the truncated copy is written");
        assert_eq!(load_register(dir.path()).0.as_deref(), Some("two"), "truncated to {length} bytes");
        let mut corrupted = content.clone();
        corrupted[length] ^= 1;
        fs::write(&path, &corrupted).expect("the corrupt copy is written");
        assert_eq!(load_register(dir.path()), (Some("two".to_owned()), 1), "corrupt byte {length}");
    }
    fs::write(&path, &content).expect("the intact copy is written");
    assert_eq!(load_register(dir.path()).0.as_deref(), Some("three"));
}

/// Writes the voter's record once and the register's record twice.
async fn write_records(path: &Path) -> Storage {
    let storage = Storage::start(open_directory(path), &load(path));
    storage.save(Record::Voter, &"voter").await.expect("the record is written");
    for body in ["one", "two"] {
        storage.save(Record::Register, &body).await.expect("the record is written");
    }
    storage
}

fn load_marks(path: &Path) -> SyncedMarks {
    fs::read(path.join(synced_marks::FILE_NAME))
        .map(|content| SyncedMarks::decode(&content))
        .unwrap_or_default()
}

async fn wait_for_marks(path: &Path, numbers: [u64; 2]) {
    while load_marks(path) != SyncedMarks::from_write_numbers(numbers) {
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

fn newest_register_path(path: &Path) -> std::path::PathBuf {
    path.join(Record::Register.file_name(2))
}

#[test]
fn a_damaged_durable_copy_counts_as_a_lost_disk_and_a_torn_copy_does_not() {
    run_local(async {
        let dir = tempfile::tempdir().expect("a temporary directory");
        // The storage is dropped before it writes watermarks.
        write_records(dir.path()).await;
        let content = fs::read(newest_register_path(dir.path())).expect("the copy exists");
        // The file truncated to `length` bytes, and with a wrong byte at that position.
        let damaged = |length: usize| {
            let mut damaged = content.clone();
            damaged[length] ^= 4;
            [content[..length].to_vec(), damaged]
        };
        // Without watermarks the copy counts as an incomplete write.
        for bytes in (0..content.len()).flat_map(damaged) {
            fs::write(newest_register_path(dir.path()), &bytes).expect("the damaged copy is written");
            assert_eq!(lost_records(dir.path()), []);
            assert_eq!(load_register(dir.path()).0.as_deref(), Some("one"));
        }
        fs::write(newest_register_path(dir.path()), &content).expect("the intact copy is written");
        let _storage = Storage::start(open_directory(dir.path()), &load(dir.path()));
        wait_for_marks(dir.path(), [1, 2]).await;
        assert_eq!(lost_records(dir.path()), []);
        assert_eq!(load_register(dir.path()).0.as_deref(), Some("two"));
        for bytes in (0..content.len()).flat_map(damaged) {
            fs::write(newest_register_path(dir.path()), &bytes).expect("the damaged copy is written");
            assert_eq!(lost_records(dir.path()), [Record::Register]);
            assert_eq!(load_register(dir.path()).0, None);
            assert_eq!(load(dir.path()).decode::<String>(Record::Voter).expect("a decodable record"), None);
        }
        fs::remove_file(newest_register_path(dir.path())).expect("the copy is removed");
        assert_eq!(lost_records(dir.path()), [Record::Register]);
    });
}

#[test]
fn a_lost_disk_stays_lost_until_both_records_are_rewritten() {
    run_local(async {
        let dir = tempfile::tempdir().expect("a temporary directory");
        let path = dir.path();
        let storage = write_records(path).await;
        wait_for_marks(path, [1, 2]).await;
        drop(storage);
        fs::write(newest_register_path(path), "damaged").expect("the damaged copy is written");
        let storage = Storage::start(open_directory(path), &load(path));
        assert_eq!(lost_records(path), [Record::Register]);
        storage.save(Record::Register, &"recovered").await.expect("the record is written");
        // The voter's record on disk is still the one from before the loss.
        assert_eq!(lost_records(path), [Record::Voter]);
        assert!(load(path).decode::<String>(Record::Voter).expect("a decodable record").is_none());
        storage.save(Record::Voter, &"recovered").await.expect("the record is written");
        assert_eq!(lost_records(path), []);
        assert_eq!(load_register(path).0.as_deref(), Some("recovered"));
        assert!(path.join("register-0.json.spoilt").exists(), "the discarded copy is kept");
        let storage = Storage::start(open_directory(path), &load(path));
        storage.save(Record::Register, &"next").await.expect("the record is written");
        assert_eq!((lost_records(path), load_register(path).0.as_deref()), (vec![], Some("next")));
    });
}

fn write_copy(path: &Path, file: &str, write_number: u64, body: &str) {
    fs::write(path.join(file), encode_copy(write_number, body.as_bytes())).expect("the record is written");
}

#[test]
fn copies_that_this_program_cannot_have_written_are_discarded() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path();
    write_copy(path, "register-1.json", 1, "\"one\"");
    write_copy(path, "register-0.json", 2, "\"two\"");
    assert_eq!(load_register(path), (Some("two".to_owned()), 0));
    // The write numbers are not consecutive, so one of the copies was not written on this disk.
    write_copy(path, "register-0.json", 40, "\"future\"");
    assert_eq!(lost_records(path), [Record::Register]);
    assert_eq!(load_register(path), (None, 2));
    // A copy whose write number is out of range, or belongs to the other file, is discarded like a torn copy.
    write_copy(path, "register-0.json", u64::MAX - 1, "\"huge\"");
    assert_eq!(load_register(path), (Some("one".to_owned()), 1));
    write_copy(path, "register-0.json", 3, "\"misplaced\"");
    assert_eq!(load_register(path), (Some("one".to_owned()), 1));
    // An intact copy with an unknown format.
    write_copy(path, "register-0.json", 2, "{\"form\":9}");
    let mut stored = load(path);
    assert_eq!(stored.decode_all::<String, String>(), (None, None));
    let reason = LossReason::UnknownFormat;
    assert_eq!(stored.lost_records, [LostRecord { record: Record::Register, reason }]);
    assert!(!stored.is_empty());
}

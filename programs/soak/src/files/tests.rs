use super::*;
use std::fs::File;
use std::io::Read;

/// Guards against a process that exits because it starts while its settings are being written (soak, seed 13059).
#[test]
fn a_reader_that_opened_a_file_before_it_is_replaced_reads_all_of_the_old_text() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("settings.json");
    replace(&path, "old").expect("the file is written");
    let mut reader = File::open(&path).expect("the file can be opened");
    replace(&path, "newer").expect("the file is replaced");
    let mut read = String::new();
    reader.read_to_string(&mut read).expect("the file can be read");
    assert_eq!(read, "old");
    assert_eq!(std::fs::read_to_string(&path).expect("the file can be read"), "newer");
}

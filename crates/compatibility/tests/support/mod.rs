//! Golden files: where they are, and how a test compares with them.

// Each test program uses a part of this module.
#![allow(dead_code)]

use std::fs;
use std::path::{Path, PathBuf};

pub mod programs;
pub mod wire;

/// Set to `1`, the tests rewrite the golden files in place of comparing with them.
const BLESS: &str = "VANEWHARF_BLESS";

/// The path of a golden file or directory.
pub fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Whether the golden files are to be rewritten.
pub fn blessing() -> bool {
    std::env::var_os(BLESS).is_some_and(|value| value == "1")
}

/// The bytes of a golden file.
pub fn read_golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    fs::read(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Writes a golden file and the directories above it.
pub fn write_golden(name: &str, actual: &[u8]) {
    let path = golden_path(name);
    fs::create_dir_all(path.parent().expect("a golden file is in a directory")).expect("a directory");
    fs::write(&path, actual).expect("a golden file can be written");
}

/// Fails unless `actual` equals the golden file byte for byte.
#[track_caller]
pub fn assert_golden(name: &str, actual: &[u8]) {
    if blessing() {
        write_golden(name, actual);
        return;
    }
    let expected = read_golden(name);
    if expected != actual {
        let (expected, actual) = (String::from_utf8_lossy(&expected), String::from_utf8_lossy(actual));
        panic!("{name} differs\n--- golden\n{expected}\n--- actual\n{actual}\n---");
    }
}

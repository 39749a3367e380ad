//! Reads the golden files and compares values with them.

// No test target uses all of this module.
#![allow(dead_code)]

use std::fs;
use std::path::{Path, PathBuf};

pub mod programs;
pub mod wire;

/// Environment variable that, if set to `1`, makes the tests rewrite the golden files instead of comparing with them.
const BLESS_VARIABLE: &str = "VANEWHARF_BLESS";

/// Returns the path of a golden file or directory.
pub fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Returns whether the golden files are to be rewritten.
pub fn rewrites_golden_files() -> bool {
    std::env::var_os(BLESS_VARIABLE).is_some_and(|value| value == "1")
}

/// Returns the bytes of a golden file.
pub fn read_golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    fs::read(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Writes a golden file and creates its parent directories.
pub fn write_golden(name: &str, actual: &[u8]) {
    let path = golden_path(name);
    fs::create_dir_all(path.parent().expect("the golden file has a parent directory"))
        .expect("the parent directories can be created");
    fs::write(&path, actual).expect("the golden file can be written");
}

/// Asserts that `actual` equals the golden file byte for byte. Rewrites the golden file instead if the environment
/// variable is set.
#[track_caller]
pub fn assert_golden(name: &str, actual: &[u8]) {
    if rewrites_golden_files() {
        write_golden(name, actual);
        return;
    }
    let expected = read_golden(name);
    if expected != actual {
        let (expected, actual) = (String::from_utf8_lossy(&expected), String::from_utf8_lossy(actual));
        panic!("{name} differs\n--- golden\n{expected}\n--- actual\n{actual}\n---");
    }
}

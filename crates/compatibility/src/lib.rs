//! Golden tests of every format that must stay compatible between builds: messages between processes, files on disk,
//! settings, and the responses of public ports.
//!
//! The package contains only tests. They compare what the programs read and write with the files in `tests/golden`,
//! byte for byte. `VANEWHARF_BLESS=1 cargo test -p vanewharf-compatibility` rewrites those files; use it only after an
//! intended change of a format.

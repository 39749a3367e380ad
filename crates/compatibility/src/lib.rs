//! Golden tests of every format that outlasts one build: messages between processes, files on disk, settings, and
//! the answers of public ports.
//!
//! The package has no code of its own. Its tests compare what today's programs read and write with the files in
//! `tests/golden`, byte for byte. `VANEWHARF_BLESS=1 cargo test -p vanewharf-compatibility` rewrites those files, which is
//! right only after a deliberate change of a format.

//! Files that are replaced while processes read them.

use std::io;
use std::path::Path;

/// Replaces a file atomically, so that no reader sees an incomplete file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn replace(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(new, path)
}

#[cfg(test)]
mod tests;

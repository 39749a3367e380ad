//! Reading and writing of files, with errors that name the path.

use crate::error::CliError;
use std::fs;
use std::path::Path;
use vanewharf_simulator::experiment::Experiment;
use vanewharf_simulator::plots::{DrawError, Plot};

pub(crate) fn read_text(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(CliError::io(path))
}

/// An experiment and the text of its file, which a sweep edits and parses again.
pub(crate) struct ExperimentFile {
    pub(crate) text: String,
    pub(crate) experiment: Experiment,
}

pub(crate) fn read_experiment(path: &Path) -> Result<ExperimentFile, CliError> {
    let text = read_text(path)?;
    let experiment = Experiment::parse(&text).map_err(CliError::invalid_file(path))?;
    Ok(ExperimentFile { text, experiment })
}

pub(crate) fn create_directory(path: &Path) -> Result<(), CliError> {
    fs::create_dir_all(path).map_err(CliError::io(path))
}

pub(crate) fn write_file(directory: &Path, name: &str, content: impl AsRef<[u8]>) -> Result<(), CliError> {
    let path = directory.join(name);
    fs::write(&path, content).map_err(CliError::io(&path))
}

/// Renders a plot to an SVG and a PNG file, whose names start with the prefix.
pub(crate) fn write_plot(directory: &Path, prefix: &str, plot: &Plot) -> Result<(), CliError> {
    let failed = |error: DrawError| CliError::Plot { name: plot.name, source: error.into() };
    let svg = plot.svg().map_err(failed)?;
    write_file(directory, &format!("{prefix}{}.svg", plot.name), svg)?;
    let png = plot.png().map_err(failed)?;
    write_file(directory, &format!("{prefix}{}.png", plot.name), png)
}

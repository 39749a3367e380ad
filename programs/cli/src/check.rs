//! `config check`: validates a file. The kind of a JSON file is detected by a top-level key that only that kind has; a
//! file without such a key is checked as gateway settings.

use crate::error::CliError;
use crate::files::{ExperimentFile, read_experiment, read_text};
use crate::maintenance_windows::read_schedule;
use serde_json::Value;
use std::path::Path;
use vanewharf_config::configuration::Config;
use vanewharf_config::settings::Settings;
use vanewharf_gateway_settings::Options;

/// Validates a file and prints a one-line summary of it.
pub(crate) fn check(file: &Path) -> Result<(), CliError> {
    if file.extension().is_some_and(|extension| extension == "toml") {
        return check_experiment(file);
    }
    let text = read_text(file)?;
    let document: Value =
        serde_json::from_str(&text).map_err(|source| CliError::NotJson { path: file.to_owned(), source })?;
    let has = |key| document.get(key).is_some();
    if has("contracts") {
        check_maintenance_windows(file)
    } else if has("node_name") {
        check_settings(file, &text)
    } else if has("routes") || has("revision") {
        check_configuration(file, &text)
    } else {
        check_gateway_settings(file, &document)
    }
}

fn check_experiment(file: &Path) -> Result<(), CliError> {
    let ExperimentFile { experiment, .. } = read_experiment(file)?;
    println!(
        "{}: valid experiment with {} gateways and {} backends",
        experiment.name, experiment.fleet.doors, experiment.fleet.backends
    );
    Ok(())
}

fn check_maintenance_windows(file: &Path) -> Result<(), CliError> {
    let schedule = read_schedule(file)?;
    println!("{}: valid maintenance windows of {} contracts", file.display(), schedule.contracts.len());
    Ok(())
}

fn check_settings(file: &Path, text: &str) -> Result<(), CliError> {
    let settings = Settings::parse(text.as_bytes()).map_err(CliError::invalid_file(file))?;
    println!("{}: valid settings of node {} in zone {}", file.display(), settings.name, settings.zone);
    Ok(())
}

fn check_configuration(file: &Path, text: &str) -> Result<(), CliError> {
    let config = Config::parse(text.as_bytes()).map_err(CliError::invalid_file(file))?;
    let customers = config.customers.as_ref().map_or(0, |customers| customers.len());
    println!(
        "{}: valid configuration r{} with {} routes to {} services and {customers} customers",
        file.display(),
        config.revision.0,
        config.routes.len(),
        config.services.len()
    );
    Ok(())
}

fn check_gateway_settings(file: &Path, document: &Value) -> Result<(), CliError> {
    let options = Options::nested(document.get("settings").unwrap_or(document));
    vanewharf_gateway_settings::check(&options, None).map_err(CliError::invalid_file(file))?;
    println!("{}: valid gateway settings", file.display());
    Ok(())
}

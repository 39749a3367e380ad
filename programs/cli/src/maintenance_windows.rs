//! `hours`: the maintenance windows in which contracts allow nodes to be drained.

use crate::error::CliError;
use crate::files::read_text;
use std::path::Path;
use vanewharf_maintenance::{BackendNode, MaintenanceSchedule, Timestamp, WindowState};

/// Prints the state of the maintenance windows at a time, by default now: that of each contract, or the combined state
/// of all contracts that cover a node.
pub(crate) fn print_window_states(file: &Path, at: Option<&str>, node: Option<&str>) -> Result<(), CliError> {
    let schedule = read_schedule(file)?;
    let at = at.map_or_else(|| Ok(Timestamp::now()), parse_time)?;
    match node {
        Some(node) => print_node(&schedule, node, at)?,
        None => print_contracts(&schedule, at),
    }
    Ok(())
}

/// Reads a file of contracts with their maintenance windows.
pub(crate) fn read_schedule(file: &Path) -> Result<MaintenanceSchedule, CliError> {
    MaintenanceSchedule::parse(read_text(file)?.as_bytes()).map_err(CliError::invalid_file(file))
}

fn parse_time(value: &str) -> Result<Timestamp, CliError> {
    value.parse().map_err(|source| invalid_time(value, source))
}

fn invalid_time(value: &str, source: <Timestamp as std::str::FromStr>::Err) -> CliError {
    CliError::InvalidTime { value: value.to_owned(), source: source.into() }
}

fn print_node(schedule: &MaintenanceSchedule, node: &str, at: Timestamp) -> Result<(), CliError> {
    let parts: Vec<_> = node.split('/').collect();
    let [zone, service, id] = parts.as_slice() else {
        return Err(CliError::InvalidNode { value: node.to_owned() });
    };
    let backend = BackendNode { zone, service, id };
    let contracts: Vec<_> = schedule.contracts_covering(backend).map(|(name, _)| name).collect();
    println!("{node}: {} contracts: {}", contracts.len(), contracts.join(", "));
    print_state(node, schedule.window_state(backend, at));
    Ok(())
}

fn print_contracts(schedule: &MaintenanceSchedule, at: Timestamp) {
    for (name, contract) in &schedule.contracts {
        print_state(name, contract.window_state(at));
        contract.closure_reason(at).into_iter().for_each(|reason| println!("    {reason}"));
    }
}

fn print_state(name: &str, state: WindowState) {
    match state {
        WindowState::Open { until } => println!("{name}: open until {until}"),
        WindowState::Closed { opens: Some(opens) } => println!("{name}: closed, opens {opens}"),
        WindowState::Closed { opens: None } => println!("{name}: closed, no upcoming opening found"),
    }
}

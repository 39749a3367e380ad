//! Reading of the operator's file. Errors name the place in the file; the names in the file are fixed.

use crate::contract::{ClosedDates, Contract, CoveredNodes, ExtraWindow, WeeklyHours, WindowEndPolicy};
use crate::schedule::MaintenanceSchedule;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use std::collections::BTreeMap;
use vanewharf_config::document::{self, DocumentResult, JsonNode};

impl MaintenanceSchedule {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// What is wrong, and where.
    pub fn parse(text: &[u8]) -> DocumentResult<MaintenanceSchedule> {
        let value = document::parse(text)?;
        let mut contracts = BTreeMap::new();
        for (name, node) in JsonNode::root(&value).required("contracts")?.entries()? {
            contracts.insert(name.to_owned(), contract(&node)?);
        }
        Ok(MaintenanceSchedule { contracts })
    }
}

/// Reads one contract. Of several errors the first is reported, in the order of the fields here.
fn contract(node: &JsonNode<'_>) -> DocumentResult<Contract> {
    Ok(Contract {
        time_zone: time_zone(&node.required("time_zone")?)?,
        weekly_hours: each(&node.required("hours")?, weekly_hours)?,
        extra_windows: each_optional(node, "open", extra_window)?,
        closed_dates: each_optional(node, "closed", closed_dates)?,
        nodes: covered_nodes(&node.required("nodes")?)?,
        on_window_end: window_end_policy(&node.required("when_hours_end")?)?,
        max_nodes_out: max_nodes_out(&node.required("most_out")?)?,
        max_drain_duration: node.required("longest_drain")?.duration()?,
        clock_margin: node.required("clock_margin")?.duration()?,
    })
}

/// Reads each item of a list.
fn each<T>(list: &JsonNode<'_>, read: impl Fn(&JsonNode<'_>) -> DocumentResult<T>) -> DocumentResult<Vec<T>> {
    list.items()?.iter().map(read).collect()
}

/// Reads each item of a list that may be missing.
fn each_optional<T>(
    node: &JsonNode<'_>,
    name: &str,
    read: impl Fn(&JsonNode<'_>) -> DocumentResult<T>,
) -> DocumentResult<Vec<T>> {
    node.optional(name)?.map_or(Ok(Vec::new()), |list| each(&list, read))
}

fn time_zone(node: &JsonNode<'_>) -> DocumentResult<TimeZone> {
    TimeZone::get(node.string()?).map_err(|_| node.invalid("no time zone has this name"))
}

fn weekly_hours(node: &JsonNode<'_>) -> DocumentResult<WeeklyHours> {
    Ok(WeeklyHours {
        days: weekdays(&node.required("days")?)?,
        from: time(&node.required("from")?)?,
        to: time(&node.required("to")?)?,
    })
}

fn weekdays(node: &JsonNode<'_>) -> DocumentResult<Vec<Weekday>> {
    let named = |name: &String| {
        weekday(name).ok_or_else(|| node.invalid(format!("{name} is none of mon tue wed thu fri sat sun")))
    };
    node.strings()?.iter().map(named).collect()
}

fn weekday(name: &str) -> Option<Weekday> {
    match name {
        "mon" => Some(Weekday::Monday),
        "tue" => Some(Weekday::Tuesday),
        "wed" => Some(Weekday::Wednesday),
        "thu" => Some(Weekday::Thursday),
        "fri" => Some(Weekday::Friday),
        "sat" => Some(Weekday::Saturday),
        "sun" => Some(Weekday::Sunday),
        _ => None,
    }
}

fn extra_window(node: &JsonNode<'_>) -> DocumentResult<ExtraWindow> {
    Ok(ExtraWindow {
        date: date(&node.required("date")?)?,
        from: time(&node.required("from")?)?,
        to: time(&node.required("to")?)?,
    })
}

fn closed_dates(node: &JsonNode<'_>) -> DocumentResult<ClosedDates> {
    let (first, last) = (date(&node.required("from")?)?, date(&node.required("to")?)?);
    if last < first {
        return Err(node.invalid("it ends before it begins"));
    }
    Ok(ClosedDates { first, last, reason: node.required("why")?.string()?.to_owned() })
}

fn covered_nodes(node: &JsonNode<'_>) -> DocumentResult<CoveredNodes> {
    let names = |kind| node.optional(kind)?.map_or(Ok(Vec::new()), |list| list.strings());
    Ok(CoveredNodes { zones: names("zones")?, services: names("services")?, backends: names("backends")? })
}

fn window_end_policy(node: &JsonNode<'_>) -> DocumentResult<WindowEndPolicy> {
    match node.string()? {
        "finish" => Ok(WindowEndPolicy::Finish),
        "hold" => Ok(WindowEndPolicy::Hold),
        "give_back" => Ok(WindowEndPolicy::ReturnToService),
        _ => Err(node.invalid("none of finish, hold, give_back")),
    }
}

fn max_nodes_out(node: &JsonNode<'_>) -> DocumentResult<u64> {
    match node.integer()? {
        0 => Err(node.invalid("with 0 nothing could ever be drained")),
        count => Ok(count),
    }
}

fn time(node: &JsonNode<'_>) -> DocumentResult<Time> {
    node.string()?.parse().map_err(|_| node.invalid("it is no time such as 01:30"))
}

fn date(node: &JsonNode<'_>) -> DocumentResult<Date> {
    node.string()?.parse().map_err(|_| node.invalid("it is no date such as 2026-12-24"))
}

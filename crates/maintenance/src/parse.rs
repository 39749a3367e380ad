//! Parser of the operator's file. Errors contain the path of the field; the field names are part of the file format.

use crate::contract::{ClosedDates, Contract, CoveredNodes, ExtraWindow, WeeklyHours, WindowEndPolicy};
use crate::schedule::MaintenanceSchedule;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use std::collections::BTreeMap;
use vanewharf_config::document::{self, DocumentResult, JsonNode};

impl MaintenanceSchedule {
    /// Parses the contents of a file.
    ///
    /// # Errors
    ///
    /// Returns the first field that is missing or invalid, or that the text is not JSON.
    pub fn parse(text: &[u8]) -> DocumentResult<MaintenanceSchedule> {
        let value = document::parse(text)?;
        let mut contracts = BTreeMap::new();
        for (name, node) in JsonNode::root(&value).required("contracts")?.entries()? {
            contracts.insert(name.to_owned(), parse_contract(&node)?);
        }
        Ok(MaintenanceSchedule { contracts })
    }
}

/// Parses one contract. If several fields are invalid, the first one in the order below is reported.
fn parse_contract(node: &JsonNode<'_>) -> DocumentResult<Contract> {
    Ok(Contract {
        time_zone: parse_time_zone(&node.required("time_zone")?)?,
        weekly_hours: parse_list(&node.required("hours")?, parse_weekly_hours)?,
        extra_windows: parse_optional_list(node, "open", parse_extra_window)?,
        closed_dates: parse_optional_list(node, "closed", parse_closed_dates)?,
        nodes: parse_covered_nodes(&node.required("nodes")?)?,
        on_window_end: parse_window_end_policy(&node.required("when_hours_end")?)?,
        max_nodes_out: parse_max_nodes_out(&node.required("most_out")?)?,
        max_drain_duration: node.required("longest_drain")?.duration()?,
        clock_margin: node.required("clock_margin")?.duration()?,
    })
}

/// Parses each item of a list.
fn parse_list<T>(
    list: &JsonNode<'_>,
    parse_item: impl Fn(&JsonNode<'_>) -> DocumentResult<T>,
) -> DocumentResult<Vec<T>> {
    list.items()?.iter().map(parse_item).collect()
}

/// Parses each item of an optional list.
fn parse_optional_list<T>(
    node: &JsonNode<'_>,
    name: &str,
    parse_item: impl Fn(&JsonNode<'_>) -> DocumentResult<T>,
) -> DocumentResult<Vec<T>> {
    node.optional(name)?.map_or(Ok(Vec::new()), |list| parse_list(&list, parse_item))
}

fn parse_time_zone(node: &JsonNode<'_>) -> DocumentResult<TimeZone> {
    let name = node.string()?;
    TimeZone::get(name).map_err(|_| node.invalid(format!("unknown time zone {name}")))
}

fn parse_weekly_hours(node: &JsonNode<'_>) -> DocumentResult<WeeklyHours> {
    Ok(WeeklyHours {
        days: parse_weekdays(&node.required("days")?)?,
        from: parse_time(&node.required("from")?)?,
        to: parse_time(&node.required("to")?)?,
    })
}

fn parse_weekdays(node: &JsonNode<'_>) -> DocumentResult<Vec<Weekday>> {
    let parse_name = |name: &String| {
        weekday(name).ok_or_else(|| {
            node.invalid(format!("unknown weekday {name}; expected mon, tue, wed, thu, fri, sat or sun"))
        })
    };
    node.strings()?.iter().map(parse_name).collect()
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

fn parse_extra_window(node: &JsonNode<'_>) -> DocumentResult<ExtraWindow> {
    Ok(ExtraWindow {
        date: parse_date(&node.required("date")?)?,
        from: parse_time(&node.required("from")?)?,
        to: parse_time(&node.required("to")?)?,
    })
}

fn parse_closed_dates(node: &JsonNode<'_>) -> DocumentResult<ClosedDates> {
    let (first, last) = (parse_date(&node.required("from")?)?, parse_date(&node.required("to")?)?);
    if last < first {
        return Err(node.invalid("the end date is before the start date"));
    }
    Ok(ClosedDates { first, last, reason: node.required("why")?.string()?.to_owned() })
}

fn parse_covered_nodes(node: &JsonNode<'_>) -> DocumentResult<CoveredNodes> {
    let names = |kind| node.optional(kind)?.map_or(Ok(Vec::new()), |list| list.strings());
    Ok(CoveredNodes { zones: names("zones")?, services: names("services")?, backends: names("backends")? })
}

fn parse_window_end_policy(node: &JsonNode<'_>) -> DocumentResult<WindowEndPolicy> {
    match node.string()? {
        "finish" => Ok(WindowEndPolicy::Finish),
        "hold" => Ok(WindowEndPolicy::Hold),
        "give_back" => Ok(WindowEndPolicy::ReturnToService),
        _ => Err(node.invalid("expected finish, hold or give_back")),
    }
}

fn parse_max_nodes_out(node: &JsonNode<'_>) -> DocumentResult<u64> {
    match node.integer()? {
        // With 0, no node could ever be drained.
        0 => Err(node.invalid("must be at least 1")),
        count => Ok(count),
    }
}

fn parse_time(node: &JsonNode<'_>) -> DocumentResult<Time> {
    node.string()?.parse().map_err(|_| node.invalid("expected a time such as 01:30"))
}

fn parse_date(node: &JsonNode<'_>) -> DocumentResult<Date> {
    node.string()?.parse().map_err(|_| node.invalid("expected a date such as 2026-12-24"))
}

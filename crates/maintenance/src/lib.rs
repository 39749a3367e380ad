//! The hours in which contracts let nodes be drained, as an operator's file says them: days and times of a time zone, dates
//! on which nothing may be, dates on which more may. What is in doubt counts as outside: an hour that daylight saving
//! skips or repeats, and a clock that may be off by the stated margin.

pub use jiff::Timestamp;
use jiff::ToSpan;
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::TimeZone;
use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_config::document::{self, DocumentResult, JsonNode};

/// How far ahead an opening is looked for, in days, first near and then far; beyond that the file is taken to have none.
const AHEAD: [i64; 2] = [8, 400];

/// Which nodes a contract covers; what names none covers all of its kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoveredNodes {
    pub zones: Vec<String>,
    pub services: Vec<String>,
    pub backends: Vec<String>,
}

/// What becomes of a drain that is under way when its hours end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowEndPolicy {
    Finish,
    /// It stays where it stands until the hours open again.
    Hold,
    /// The node is taken back.
    ReturnToService,
}

#[derive(Clone, Debug)]
struct Hours {
    days: Vec<Weekday>,
    from: Time,
    to: Time,
}

#[derive(Clone, Debug)]
pub struct Contract {
    pub nodes: CoveredNodes,
    zone: TimeZone,
    hours: Vec<Hours>,
    /// More hours, on one date each.
    open: Vec<(Date, Time, Time)>,
    /// Both dates are closed, and all between.
    closed: Vec<(Date, Date, String)>,
    pub max_drain_duration: Duration,
    pub max_nodes_out: u64,
    pub on_window_end: WindowEndPolicy,
    /// By how much the clock that judges may be off.
    pub margin: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowState {
    Open { until: Timestamp },
    Closed { opens: Option<Timestamp> },
}

/// All contracts by name.
#[derive(Clone, Debug)]
pub struct MaintenanceSchedule {
    pub contracts: BTreeMap<String, Contract>,
}

impl MaintenanceSchedule {
    pub fn parse(text: &[u8]) -> DocumentResult<MaintenanceSchedule> {
        let value = document::parse(text)?;
        let mut contracts = BTreeMap::new();
        for (name, doc) in JsonNode::root(&value).required("contracts")?.entries()? {
            contracts.insert(name.to_owned(), contract(&doc)?);
        }
        Ok(MaintenanceSchedule { contracts })
    }

    /// The contracts that cover a backend: each of them must be open for it to be drained.
    pub fn contracts_covering<'a>(
        &'a self,
        zone: &'a str,
        service: &'a str,
        backend: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Contract)> {
        let covers = move |nodes: &CoveredNodes| {
            let within =
                |named: &[String], one: &str| named.is_empty() || named.iter().any(|name| name == one);
            within(&nodes.zones, zone) && within(&nodes.services, service) && within(&nodes.backends, backend)
        };
        let found = self.contracts.iter().filter(move |(_, contract)| covers(&contract.nodes));
        found.map(|(name, contract)| (name.as_str(), contract))
    }

    /// All that cover it together: open while each is, and opening when the last of them does.
    pub fn window_state(&self, (zone, service, backend): (&str, &str, &str), now: Timestamp) -> WindowState {
        let contracts: Vec<_> =
            self.contracts_covering(zone, service, backend).map(|(_, contract)| contract).collect();
        let Some((first, others)) = contracts.split_first() else {
            // No contract names it: nobody approved any hour.
            return WindowState::Closed { opens: None };
        };
        found(|ahead| {
            let common = first.spans(now, ahead);
            let common = others.iter().fold(common, |common, other| both(&common, &other.spans(now, ahead)));
            window_state(&common, now)
        })
    }
}

type Spans = Vec<(Timestamp, Timestamp)>;

fn window_state(spans: &Spans, now: Timestamp) -> WindowState {
    match spans.iter().find(|(_, to)| *to > now) {
        Some((from, to)) if *from <= now => WindowState::Open { until: *to },
        next => WindowState::Closed { opens: next.map(|(from, _)| *from) },
    }
}

/// Near at first: most openings are.
fn found(look: impl Fn(i64) -> WindowState) -> WindowState {
    match look(AHEAD[0]) {
        WindowState::Closed { opens: None } => look(AHEAD[1]),
        standing => standing,
    }
}

fn both(one: &Spans, other: &Spans) -> Spans {
    let pairs = one.iter().flat_map(|a| other.iter().map(move |b| (a.0.max(b.0), a.1.min(b.1))));
    pairs.filter(|(from, to)| from < to).collect()
}

/// In order, and those that touch as one.
fn merged(mut spans: Spans) -> Spans {
    spans.sort_unstable();
    let mut all: Spans = Vec::new();
    for (from, to) in spans {
        match all.last_mut() {
            Some(last) if from <= last.1 => last.1 = last.1.max(to),
            _ => all.push((from, to)),
        }
    }
    all
}

impl Contract {
    pub fn window_state(&self, now: Timestamp) -> WindowState {
        found(|ahead| window_state(&self.spans(now, ahead), now))
    }

    /// A civil time that daylight saving skips or repeats is the later one where hours begin.
    fn begins(&self, at: DateTime) -> Option<Timestamp> {
        self.zone.to_ambiguous_timestamp(at).later().ok()
    }

    fn ends(&self, at: DateTime) -> Option<Timestamp> {
        self.zone.to_ambiguous_timestamp(at).earlier().ok()
    }

    fn span(&self, date: Date, from: Time, to: Time) -> Option<(Timestamp, Timestamp)> {
        // Hours that end no later than they begin end on the next day.
        let last = if to <= from { date.tomorrow().ok()? } else { date };
        let span = (self.begins(date.to_datetime(from))?, self.ends(last.to_datetime(to))?);
        (span.0 < span.1).then_some(span)
    }

    /// The approved spans from a day before on, without what is closed, each shorter by the margin at both ends.
    fn spans(&self, now: Timestamp, ahead: i64) -> Spans {
        let today = now.to_zoned(self.zone.clone()).date();
        let mut spans = Vec::new();
        for day in -1..ahead {
            let Ok(date) = today.checked_add(day.days()) else {
                break;
            };
            let hours = self.hours.iter().filter(|hours| hours.days.contains(&date.weekday()));
            spans.extend(hours.filter_map(|hours| self.span(date, hours.from, hours.to)));
        }
        let open = self.open.iter().filter_map(|(date, from, to)| self.span(*date, *from, *to));
        spans.extend(open);
        let mut spans = merged(spans);
        for (first, last, _) in &self.closed {
            let midnight = |date: Date| date.to_datetime(Time::midnight());
            let after = last.tomorrow().ok().and_then(|date| self.begins(midnight(date)));
            let Some((from, to)) = self.ends(midnight(*first)).zip(after) else {
                continue;
            };
            let cut = |(a, b): (Timestamp, Timestamp)| [(a, b.min(from)), (a.max(to), b)];
            spans = spans.into_iter().flat_map(cut).filter(|(a, b)| a < b).collect();
        }
        let shorter = |(from, to): (Timestamp, Timestamp)| {
            let (from, to) = (from.checked_add(self.margin).ok()?, to.checked_sub(self.margin).ok()?);
            (from < to).then_some((from, to))
        };
        spans.into_iter().filter_map(shorter).collect()
    }

    /// Why a date is closed, where it is.
    pub fn closure_reason(&self, now: Timestamp) -> Option<&str> {
        let today = now.to_zoned(self.zone.clone()).date();
        let closed = self.closed.iter().find(|(first, last, _)| (*first..=*last).contains(&today));
        closed.map(|(_, _, why)| why.as_str())
    }
}

fn contract(doc: &JsonNode<'_>) -> DocumentResult<Contract> {
    let at = doc.required("time_zone")?;
    let zone = TimeZone::get(at.string()?).map_err(|_| at.invalid("no time zone has this name"))?;
    let mut hours = Vec::new();
    for doc in doc.required("hours")?.items()? {
        let days = doc.required("days")?;
        let day = |name: &String| {
            weekday(name)
                .ok_or_else(|| days.invalid(format!("{name} is none of mon tue wed thu fri sat sun")))
        };
        let days = days.strings()?.iter().map(day).collect::<DocumentResult<Vec<_>>>()?;
        hours.push(Hours { days, from: time(&doc.required("from")?)?, to: time(&doc.required("to")?)? });
    }
    let mut open = Vec::new();
    for doc in doc.optional("open")?.map_or(Ok(Vec::new()), |doc| doc.items())? {
        open.push((
            date(&doc.required("date")?)?,
            time(&doc.required("from")?)?,
            time(&doc.required("to")?)?,
        ));
    }
    let mut closed = Vec::new();
    for doc in doc.optional("closed")?.map_or(Ok(Vec::new()), |doc| doc.items())? {
        let (first, last) = (date(&doc.required("from")?)?, date(&doc.required("to")?)?);
        if last < first {
            return Err(doc.invalid("it ends before it begins"));
        }
        closed.push((first, last, doc.required("why")?.string()?.to_owned()));
    }
    let nodes = doc.required("nodes")?;
    let named = |name| nodes.optional(name)?.map_or(Ok(Vec::new()), |doc| doc.strings());
    let nodes =
        CoveredNodes { zones: named("zones")?, services: named("services")?, backends: named("backends")? };
    let end = doc.required("when_hours_end")?;
    let on_window_end = match end.string()? {
        "finish" => WindowEndPolicy::Finish,
        "hold" => WindowEndPolicy::Hold,
        "give_back" => WindowEndPolicy::ReturnToService,
        _ => return Err(end.invalid("none of finish, hold, give_back")),
    };
    let max_nodes_out = doc.required("most_out")?;
    let most = max_nodes_out.integer()?;
    if most == 0 {
        return Err(max_nodes_out.invalid("with 0 nothing could ever be drained"));
    }
    Ok(Contract {
        nodes,
        zone,
        hours,
        open,
        closed,
        max_drain_duration: doc.required("longest_drain")?.duration()?,
        max_nodes_out: most,
        on_window_end,
        margin: doc.required("clock_margin")?.duration()?,
    })
}

fn weekday(name: &str) -> Option<Weekday> {
    let all = [
        ("mon", Weekday::Monday),
        ("tue", Weekday::Tuesday),
        ("wed", Weekday::Wednesday),
        ("thu", Weekday::Thursday),
        ("fri", Weekday::Friday),
        ("sat", Weekday::Saturday),
        ("sun", Weekday::Sunday),
    ];
    all.into_iter().find(|(known, _)| *known == name).map(|(_, day)| day)
}

fn time(doc: &JsonNode<'_>) -> DocumentResult<Time> {
    doc.string()?.parse().map_err(|_| doc.invalid("it is no time such as 01:30"))
}

fn date(doc: &JsonNode<'_>) -> DocumentResult<Date> {
    doc.string()?.parse().map_err(|_| doc.invalid("it is no date such as 2026-12-24"))
}

#[cfg(test)]
mod tests;

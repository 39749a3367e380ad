//! Tests of the open and closed hours of contracts, and of error messages for invalid files.

use jiff::civil::Time;
use jiff::tz::TimeZone;
use std::time::Duration;
use vanewharf_maintenance::{BackendNode, MaintenanceSchedule, Timestamp, WindowState};
use yare::parameterized;

fn file(time_zone: &str, hours: &str, extra_fields: &str) -> String {
    format!(
        r#"{{"contracts": {{"c": {{"nodes": {{"zones": ["lj-a"]}}, "time_zone": "{time_zone}", "hours": [{hours}], {extra_fields}
        "longest_drain": "900s", "most_out": 1, "when_hours_end": "hold", "clock_margin": "5s"}}}}}}"#
    )
}

const NIGHTS: &str =
    r#"{"days": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"], "from": "22:30", "to": "02:30"}"#;

fn schedule(time_zone: &str, hours: &str, extra_fields: &str) -> MaintenanceSchedule {
    MaintenanceSchedule::parse(file(time_zone, hours, extra_fields).as_bytes()).expect("a valid file")
}

fn node<'a>(zone: &'a str, service: &'a str) -> BackendNode<'a> {
    BackendNode { zone, service, id: "i" }
}

fn at(text: &str) -> Timestamp {
    text.parse().expect("a time")
}

#[parameterized(
    before = { "2026-12-02T21:30:00Z", None, Some("2026-12-02T21:30:05Z") },
    within_the_margin = { "2026-12-02T21:30:04Z", None, Some("2026-12-02T21:30:05Z") },
    open = { "2026-12-02T21:30:05Z", Some("2026-12-03T01:29:55Z"), None },
    over_midnight = { "2026-12-03T00:10:00Z", Some("2026-12-03T01:29:55Z"), None },
    within_the_margin_at_the_end = { "2026-12-03T01:29:55Z", None, Some("2026-12-03T21:30:05Z") },
    // The dates are closed to the end of the 27th in Ljubljana; the hours of that evening continue after midnight.
    closed_at_christmas = { "2026-12-24T22:00:00Z", None, Some("2026-12-27T23:00:05Z") },
    extra_window = { "2026-12-28T09:00:00Z", Some("2026-12-28T10:59:55Z"), None },
)]
fn windows_follow_the_civil_time_of_the_time_zone(now: &str, until: Option<&str>, opens: Option<&str>) {
    // The window that begins on the evening before the closed dates ends at midnight.
    let extra_fields = r#""closed": [{"from": "2026-12-24", "to": "2026-12-27", "why": "release days"}],
        "open": [{"date": "2026-12-28", "from": "09:30", "to": "12:00"}],"#;
    let schedule = schedule("Europe/Ljubljana", NIGHTS, extra_fields);
    let expected = match until {
        Some(until) => WindowState::Open { until: at(until) },
        None => WindowState::Closed { opens: opens.map(at) },
    };
    assert_eq!(schedule.contracts["c"].window_state(at(now)), expected);
}

/// Checks every five minutes around a daylight saving transition. On the transition date and the day before, a window
/// must not be open outside its hours by the wall clock; on other days it must be open exactly within its hours.
#[parameterized(
    spring = { "2027-03-26T12:00:00Z", "2027-03-28" },
    autumn = { "2026-10-23T12:00:00Z", "2026-10-25" },
)]
fn ambiguous_hours_are_closed(from: &str, transition_date: &str) {
    for hours in
        [("01:30", "02:30"), ("02:15", "02:45"), ("02:30", "04:00"), ("23:00", "02:10"), ("02:00", "03:00")]
    {
        let days = r#"["mon", "tue", "wed", "thu", "fri", "sat", "sun"]"#;
        let text = format!(r#"{{"days": {days}, "from": "{}", "to": "{}"}}"#, hours.0, hours.1);
        let time_zone = TimeZone::get("Europe/Ljubljana").expect("a time zone");
        let mut contract = schedule("Europe/Ljubljana", &text, "").contracts.remove("c").expect("contract c");
        contract.clock_margin = Duration::ZERO;
        let (start, end): (Time, Time) = (hours.0.parse().expect("a time"), hours.1.parse().expect("a time"));
        let mut open_count = 0;
        for minute in (0..4 * 24 * 60).step_by(5) {
            let now =
                at(from).checked_add(jiff::SignedDuration::from_mins(minute)).expect("a representable time");
            let civil = now.to_zoned(time_zone.clone());
            let wall = civil.time();
            let inside = if start < end { (start..end).contains(&wall) } else { wall >= start || wall < end };
            let is_open = matches!(contract.window_state(now), WindowState::Open { .. });
            let dates = [civil.date(), civil.date().tomorrow().expect("a representable date")];
            if dates.map(|date| date.to_string()).contains(&transition_date.to_owned()) {
                assert!(inside || !is_open, "{hours:?} at {civil}");
            } else {
                assert_eq!(is_open, inside, "{hours:?} at {civil}");
            }
            open_count += u32::from(is_open);
        }
        assert!(open_count > 0, "{hours:?} never open");
    }
}

#[test]
fn all_contracts_that_cover_a_node_must_be_open() {
    let text = r#"{"contracts": {
        "zone": {"nodes": {"zones": ["lj-a"]}, "time_zone": "Europe/Ljubljana", "most_out": 1, "longest_drain": "900s",
            "hours": [{"days": ["wed"], "from": "20:00", "to": "23:00"}], "when_hours_end": "hold", "clock_margin": "0s"},
        "service": {"nodes": {"services": ["objava"]}, "time_zone": "Africa/Accra", "most_out": 2, "longest_drain": "60s",
            "hours": [{"days": ["wed"], "from": "20:30", "to": "23:30"}], "when_hours_end": "finish", "clock_margin": "0s"}}}"#;
    let schedule = MaintenanceSchedule::parse(text.as_bytes()).expect("a valid file");
    let now = at("2026-12-02T19:30:00Z");
    assert_eq!(
        schedule.window_state(node("lj-a", "lastnistvo"), now),
        WindowState::Open { until: at("2026-12-02T22:00:00Z") }
    );
    let both = node("lj-a", "objava");
    assert_eq!(
        schedule.window_state(both, now),
        WindowState::Closed { opens: Some(at("2026-12-02T20:30:00Z")) }
    );
    assert_eq!(
        schedule.window_state(both, at("2026-12-02T21:00:00Z")),
        WindowState::Open { until: at("2026-12-02T22:00:00Z") }
    );
    assert_eq!(
        schedule.window_state(node("mb-a", "lastnistvo"), now),
        WindowState::Closed { opens: None },
        "no contract covers it"
    );
}

#[parameterized(
    zone = { "Europe/Ljubljana", "Europe/Lublana", "contracts.c.time_zone: unknown time zone Europe/Lublana" },
    day = { "\"wed\"", "\"mid\"", "contracts.c.hours.0.days: unknown weekday mid; expected mon, tue, wed, thu, fri, sat or sun" },
    hour = { "22:30", "25:30", "contracts.c.hours.0.from: expected a time such as 01:30" },
    none_out = { "\"most_out\": 1", "\"most_out\": 0", "contracts.c.most_out: must be at least 1" },
    end = { "\"hold\"", "\"wait\"", "contracts.c.when_hours_end: expected finish, hold or give_back" },
    margin = { "\"clock_margin\"", "\"margin\"", "contracts.c.clock_margin is missing" },
    backwards = { "2026-12-24", "2026-12-28", "contracts.c.closed.0: the end date is before the start date" },
)]
fn an_error_contains_the_path_of_the_field(from: &str, to: &str, message: &str) {
    let extra_fields = r#""closed": [{"from": "2026-12-24", "to": "2026-12-27", "why": "release days"}],"#;
    let valid = file("Europe/Ljubljana", NIGHTS, extra_fields);
    assert!(MaintenanceSchedule::parse(valid.as_bytes()).is_ok());
    let invalid = valid.replace(from, to);
    assert_ne!(invalid, valid);
    assert_eq!(MaintenanceSchedule::parse(invalid.as_bytes()).expect_err("invalid").to_string(), message);
}

//! Measures the fleet summary, which the leaseholder aggregates from the reports of all proxies.

use crate::fleet::{CONTROLLERS, at, controller, host_counts, report};
use crate::measure::{compressed_size, measure, to_json};
use vanewharf_discovery::{FleetAggregator, summary_for_proxies};
use vanewharf_protocol::messages::{Ballot, FleetSummary, ProxyReport, Version};

/// The aggregator looks up each tenant for each proxy. With more lookups a row takes minutes.
const MAX_LOOKUPS: usize = 60_000_000;
/// Number of proxies in the table by number of hosts.
const HOST_PROXIES: usize = 540;

/// Prints a table by the number of proxies and tenants.
pub fn measure_summaries() {
    println!(
        "\n| proxies | tenants per proxy, of | report bytes | record all ms | retained MB | summarize ms | summary bytes, compressed | \
         summary for proxies, bytes | clone ms | serialize, parse ms | a follower's reports: ms, bytes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for proxies in [30, 300, 1_000, 5_400] {
        for (tenants, pool) in [(0, 1), (10, 1_000), (100, 10_000), (1_000, 240_000)] {
            if proxies * pool.min(proxies * tenants) <= MAX_LOOKUPS {
                println!("| {proxies} | {tenants}, {pool} | {} |", summary_columns(proxies, tenants, pool));
            }
        }
    }
}

fn summary_columns(proxies: usize, tenants: usize, pool: usize) -> String {
    let mut aggregator = FleetAggregator::default();
    let retained_mb = measure(|| {
        (0..proxies).for_each(|proxy| aggregator.record_report(report(proxy, tenants, pool, 1), at(1)));
    })
    .retained_mb;
    let reports: Vec<_> = (0..proxies).map(|proxy| report(proxy, tenants, pool, 2)).collect();
    let report_size = to_json(&reports[0]).len();
    let recording =
        measure(|| reports.into_iter().for_each(|report| aggregator.record_report(report, at(2))));
    (0..CONTROLLERS).for_each(|number| aggregator.record_controller(controller(number), at(2)));
    let version = Version { ballot: Ballot(1), number: 1 };
    let summary = measure(|| aggregator.summarize(version, 1e9, at(2)));
    let copy = measure(|| FleetSummary::clone(&summary.output));
    let writing = measure(|| to_json(&summary.output));
    let reading = measure(|| serde_json::from_slice::<FleetSummary>(&writing.output).expect("a summary"));
    let size_for_proxies = to_json(&summary_for_proxies(copy.output)).len();
    let forwarding = measure_forwarding(proxies, tenants, pool);
    format!(
        "{report_size} | {:.1} | {retained_mb:.1} | {:.1} | {}, {} | {size_for_proxies} | {:.2} | {:.1}, {:.1} | {forwarding}",
        recording.milliseconds,
        summary.milliseconds,
        writing.output.len(),
        compressed_size(&writing.output),
        copy.milliseconds,
        writing.milliseconds,
        reading.milliseconds,
    )
}

/// Measures the reports that one controller receives and forwards to the leaseholder.
fn measure_forwarding(proxies: usize, tenants: usize, pool: usize) -> String {
    let mut aggregator = FleetAggregator::default();
    (0..proxies.div_ceil(CONTROLLERS))
        .for_each(|proxy| aggregator.record_report(report(proxy, tenants, pool, 1), at(1)));
    let forwarding = measure(|| to_json(&aggregator.recent_reports(at(1))));
    format!("{:.1}, {}", forwarding.milliseconds, forwarding.output.len())
}

/// Prints a table by the number of hosts that each proxy reports.
pub fn measure_hosts() {
    println!("\n| proxies | hosts per proxy | report bytes | parse all ms | retained MB | summarize ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for hosts in [8, 100, 1_000, 6_000] {
        println!("| {HOST_PROXIES} | {hosts} | {} |", host_columns(hosts));
    }
}

fn host_columns(hosts: usize) -> String {
    let counts = host_counts(hosts, 1_001);
    let report = |proxy: usize| ProxyReport { hosts: counts.clone(), ..report(proxy, 0, 1, 1) };
    let report_size = to_json(&report(0)).len();
    let reports: Vec<_> = (0..HOST_PROXIES).map(report).collect();
    let writing = measure(|| to_json(&reports).len());
    let round_trip =
        measure(|| serde_json::from_slice::<Vec<ProxyReport>>(&to_json(&reports)).expect("reports"));
    drop(reports);
    let (reading_ms, retained_mb) = (round_trip.milliseconds - writing.milliseconds, round_trip.retained_mb);
    let mut aggregator = FleetAggregator::default();
    round_trip.output.into_iter().for_each(|report| aggregator.record_report(report, at(1)));
    let summary = measure(|| aggregator.summarize(Version::default(), 1e9, at(1)));
    format!("{report_size} | {reading_ms:.1} | {retained_mb:.1} | {:.1}", summary.milliseconds)
}

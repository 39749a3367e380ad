//! Measures the token buckets of controllers, which lease tokens to proxies.

use crate::fleet::{CONTROLLERS, at, controller, report};
use crate::measure::{Measured, compressed_size, measure, to_json};
use std::collections::BTreeMap;
use vanewharf_discovery::{FleetAggregator, summary_for_proxies};
use vanewharf_protocol::messages::{FleetSummary, TokenLeaseReport, Version};
use vanewharf_quota::{InitialFill, Quota, TokenBuckets};

const QUOTA: Quota = Quota { rate: 60.0, burst: 60.0 };
const RATE_ALLOWANCE: f64 = 100.0;

/// Prints a table by the number of tenants.
pub fn measure_all() {
    println!(
        "\n| tenants | buckets MB | bytes per bucket | lease one token µs | lease report: ms, bytes, compressed | summary of 13 \
         controllers: ms, bytes, compressed | clone for proxies ms | apply summary ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for tenants in [1_000, 10_000, 60_000, 240_000] {
        println!("| {tenants} | {} |", columns(tenants));
    }
}

/// Creates buckets that have leased one token of each tenant.
fn fill_buckets(names: &[String]) -> Measured<TokenBuckets> {
    measure(|| {
        let mut buckets = TokenBuckets::new(RATE_ALLOWANCE, InitialFill::Empty, at(0));
        buckets.apply_usage(CONTROLLERS as u32, &BTreeMap::new(), |_| QUOTA, at(1));
        for name in names {
            buckets.lease_tokens(name, 1, QUOTA, at(5));
        }
        buckets
    })
}

fn lease_report(buckets: &TokenBuckets, number: usize) -> TokenLeaseReport {
    TokenLeaseReport {
        ip: controller(number).ip,
        incarnation: 1,
        admitted: buckets.admitted_counts(),
        quota_shares: buckets.quota_shares(),
    }
}

fn columns(tenants: usize) -> String {
    let names: Vec<_> = (0..tenants).map(|number| format!("tenant-{number:06}")).collect();
    let filled = fill_buckets(&names);
    let (buckets_mb, mut buckets) = (filled.retained_mb, filled.output);
    let leasing =
        measure(|| names.iter().map(|name| buckets.lease_tokens(name, 1, QUOTA, at(9))).sum::<u32>());
    let reporting = measure(|| to_json(&lease_report(&buckets, 0)));
    let mut aggregator = FleetAggregator::default();
    aggregator.record_report(report(0, 0, 1, 1), at(10));
    (0..CONTROLLERS)
        .for_each(|number| aggregator.record_lease_report(lease_report(&buckets, number), at(10)));
    let summary = measure(|| aggregator.summarize(Version::default(), 1.0, at(10)));
    let summary_json = to_json(&summary.output);
    let copying = measure(|| summary_for_proxies(FleetSummary::clone(&summary.output)));
    let applying = measure(|| {
        buckets.apply_usage(CONTROLLERS as u32, &summary.output.tenants, |_| QUOTA, at(10));
    });
    format!(
        "{buckets_mb:.1} | {:.0} | {:.2} | {:.0}, {}, {} | {:.0}, {}, {} | {:.1} | {:.0}",
        buckets_mb * 1e6 / tenants as f64,
        leasing.milliseconds * 1e3 / tenants as f64,
        reporting.milliseconds,
        reporting.output.len(),
        compressed_size(&reporting.output),
        summary.milliseconds,
        summary_json.len(),
        compressed_size(&summary_json),
        copying.milliseconds,
        applying.milliseconds
    )
}

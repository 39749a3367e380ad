use super::*;
use crate::client_resolution::proxies_for_client;
use vanewharf_protocol::messages::TenantUsage;

const START: Timestamp = Timestamp(1_000_000_000);

fn report(name: &str, incarnation: u64, age_ms: u64, admitted: u64) -> ProxyReport {
    let entry = ProxyEntry {
        name: name.to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        ready: true,
    };
    let tenant = || "t".to_owned();
    let (admitted, quota_shares) = ([(tenant(), admitted)].into(), [(tenant(), 0.5)].into());
    ProxyReport {
        proxy: entry,
        incarnation,
        age_ms,
        quota_divisor: 0,
        admitted,
        quota_shares,
        hosts: BTreeMap::new(),
        attempts: BTreeMap::new(),
    }
}

#[test]
fn usage_is_summed_over_proxies_and_an_unresponsive_one_stays_counted_for_a_while() {
    let mut aggregator = FleetAggregator::default();
    let at = |ms| START.after(Duration::from_millis(ms));
    for second in 0..4u64 {
        aggregator.record_report(report("a", 1, 0, second * 10), at(second * 1000));
        aggregator.record_report(report("b", 1, 0, second * 5), at(second * 1000));
        // The same report again, late: nothing is counted twice.
        aggregator.record_report(report("b", 1, 400, second * 5), at(second * 1000 + 100));
    }
    let summary = aggregator.summarize(Version::default(), 20.0, at(3000));
    assert_eq!(summary.tenants["t"], TenantUsage { requests_per_s: 15.0, quota_shares: 1.0 });
    aggregator.record_report(report("a", 1, 0, 100), at(7000));
    let summary = aggregator.summarize(Version::default(), 20.0, at(7000));
    assert_eq!(
        (summary.quota_divisor, summary.proxies[1].ready),
        (2, false),
        "b is counted but not named to clients"
    );
    let remaining = TenantUsage { requests_per_s: 17.5, quota_shares: 1.0 };
    assert_eq!(summary.tenants["t"], remaining, "b's share is counted, its last rate is not");
    let proxies: Vec<_> = summary.proxies.iter().collect();
    assert_eq!(proxies_for_client(&proxies, "r", None, 64).len(), 1);
    assert_eq!(aggregator.recent_reports(at(7000)).len(), 1);
    aggregator.record_report(report("a", 1, 0, 100), at(64_000));
    assert_eq!(aggregator.summarize(Version::default(), 20.0, at(64_000)).quota_divisor, 1);
}

#[test]
fn a_host_is_homed_when_most_of_its_requests_are_on_routes_with_home_regions() {
    let mut aggregator = FleetAggregator::default();
    let hosts = [
        ("mostly".to_owned(), HostCounts { requests: 10, home_region_requests: 7 }),
        ("hardly".to_owned(), HostCounts { requests: 10, home_region_requests: 5 }),
    ];
    aggregator.record_report(ProxyReport { hosts: hosts.into(), ..report("a", 1, 0, 0) }, START);
    let homed = aggregator.summarize(Version::default(), 20.0, START).home_region_hosts;
    assert_eq!(homed.into_iter().collect::<Vec<_>>(), ["mostly"]);
}

#[test]
fn usage_is_summed_over_lenders_when_proxies_are_too_many_for_a_share_each() {
    let mut aggregator = FleetAggregator::default();
    let lease_report = |ip: u8, admitted, share| {
        let (admitted, quota_shares) =
            ([("t".to_owned(), admitted)].into(), [("t".to_owned(), share)].into());
        TokenLeaseReport { ip: IpAddr::from([10, 0, 0, ip]), incarnation: 1, admitted, quota_shares }
    };
    for second in 0..3 {
        let now = START.after(Duration::from_secs(second));
        aggregator.record_lease_report(lease_report(1, second * 8, 0.4), now);
        aggregator.record_lease_report(lease_report(2, second * 4, 0.5), now);
        (0..20).for_each(|proxy| {
            aggregator.record_report(report(&format!("d{proxy}"), 1, 0, second * 100), now)
        });
    }
    let summary = aggregator.summarize(Version::default(), 20.0, START.after(Duration::from_secs(2)));
    assert_eq!(
        (summary.token_lenders, summary.tenants["t"]),
        (Some(2), TenantUsage { requests_per_s: 12.0, quota_shares: 0.9 })
    );
    let summary = aggregator.summarize(Version::default(), 60.0, START.after(Duration::from_secs(2)));
    assert_eq!((summary.token_lenders, summary.tenants["t"].requests_per_s), (None, 2000.0));
}

#[test]
fn a_leaseholder_without_the_count_divides_by_what_proxies_acknowledged() {
    let mut aggregator = FleetAggregator::default();
    aggregator.start_aggregating(0, START);
    aggregator.record_report(ProxyReport { quota_divisor: 9, ..report("a", 1, 0, 10) }, START);
    let summary = aggregator.summarize(Version::default(), 20.0, START);
    assert_eq!(
        (summary.quota_divisor, summary.tenants["t"].quota_shares),
        (9, 1.389),
        "eight have not reported yet, each at the even share"
    );
    let later = START.after(COUNTED_FOR);
    aggregator.record_report(ProxyReport { quota_divisor: 9, ..report("a", 1, 0, 10) }, later);
    assert_eq!(
        aggregator.summarize(Version::default(), 20.0, later).quota_divisor,
        1,
        "no other proxy has reported"
    );
}

/// Found by `vanewharf lab system`, seed 46: every proxy took itself for the only one after the core was killed.
#[test]
fn no_summary_is_ready_before_a_proxy_reports_nor_at_the_first_report_when_all_lost_the_count() {
    let mut aggregator = FleetAggregator::default();
    aggregator.start_aggregating(0, START);
    assert!(!aggregator.is_ready(START.after(INITIAL_GATHERING)));
    aggregator.record_report(report("a", 1, 0, 10), START);
    assert!(!aggregator.is_ready(START.after(INITIAL_GATHERING / 2)), "others may still report");
    assert!(aggregator.is_ready(START.after(INITIAL_GATHERING)));
    let mut remembering = aggregator.clone();
    remembering.start_aggregating(9, START);
    assert!(
        remembering.is_ready(START)
            && remembering.summarize(Version::default(), 20.0, START).quota_divisor == 9
    );
    aggregator.record_report(ProxyReport { quota_divisor: 9, ..report("b", 1, 0, 10) }, START);
    assert!(aggregator.is_ready(START), "this proxy knows the count");
}

#[test]
fn the_share_of_a_proxy_that_has_not_reported_is_not_given_to_others() {
    let mut aggregator = FleetAggregator::default();
    aggregator.start_aggregating(0, START);
    let previous = FleetSummary {
        proxies: vec![report("cut", 1, 0, 0).proxy, report("a", 1, 0, 0).proxy],
        ..FleetSummary::default()
    };
    aggregator.inherit_summary(&previous, START);
    let shares = [("t".to_owned(), 0.1)];
    aggregator.record_report(ProxyReport { quota_shares: shares.into(), ..report("a", 7, 0, 10) }, START);
    assert_eq!(aggregator.summarize(Version::default(), 20.0, START).tenants["t"].quota_shares, 1.0);
    let report_of_cut =
        ProxyReport { quota_shares: [("t".to_owned(), 0.2)].into(), ..report("cut", 8, 0, 10) };
    aggregator.record_report(report_of_cut, START);
    let shares = aggregator.summarize(Version::default(), 20.0, START).tenants["t"].quota_shares;
    assert!((shares - 0.3).abs() < 1e-9, "{shares}");
}

#[test]
fn counters_of_a_new_incarnation_start_from_zero() {
    let mut aggregator = FleetAggregator::default();
    aggregator.record_report(report("a", 1, 0, 1000), START);
    aggregator.record_report(report("a", 2, 0, 3), START.after(Duration::from_secs(1)));
    aggregator.record_report(report("a", 2, 0, 13), START.after(Duration::from_secs(2)));
    assert_eq!(
        aggregator.summarize(Version::default(), 20.0, START.after(Duration::from_secs(2))).tenants["t"]
            .requests_per_s,
        10.0
    );
}

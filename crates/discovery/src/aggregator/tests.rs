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
fn usage_is_summed_over_proxies_including_recently_silent_ones() {
    let mut aggregator = FleetAggregator::default();
    let at = |ms| START.after(Duration::from_millis(ms));
    for second in 0..4u64 {
        aggregator.record_report(report("a", 1, 0, second * 10), at(second * 1000));
        aggregator.record_report(report("b", 1, 0, second * 5), at(second * 1000));
        // A delayed copy of the same report is ignored.
        aggregator.record_report(report("b", 1, 400, second * 5), at(second * 1000 + 100));
    }
    let summary = aggregator.summarize(Version::default(), 20.0, at(3000));
    assert_eq!(summary.tenants["t"], TenantUsage { requests_per_s: 15.0, quota_shares: 1.0 });
    aggregator.record_report(report("a", 1, 0, 100), at(7000));
    let summary = aggregator.summarize(Version::default(), 20.0, at(7000));
    assert_eq!(
        (summary.quota_divisor, summary.proxies[1].ready),
        (2, false),
        "b is counted, but is not ready"
    );
    let remaining = TenantUsage { requests_per_s: 17.5, quota_shares: 1.0 };
    assert_eq!(summary.tenants["t"], remaining, "b's share is counted, but its expired rate is not");
    let proxies: Vec<_> = summary.proxies.iter().collect();
    assert_eq!(proxies_for_client(&proxies, "r", None, 64).len(), 1);
    assert_eq!(aggregator.recent_reports(at(7000)).len(), 1);
    aggregator.record_report(report("a", 1, 0, 100), at(64_000));
    assert_eq!(aggregator.summarize(Version::default(), 20.0, at(64_000)).quota_divisor, 1);
}

#[test]
fn a_host_is_listed_if_most_of_its_requests_are_on_routes_with_home_regions() {
    let mut aggregator = FleetAggregator::default();
    let hosts = [
        ("mostly".to_owned(), HostCounts { requests: 10, home_region_requests: 7 }),
        ("hardly".to_owned(), HostCounts { requests: 10, home_region_requests: 5 }),
    ];
    aggregator.record_report(ProxyReport { hosts: hosts.into(), ..report("a", 1, 0, 0) }, START);
    let listed = aggregator.summarize(Version::default(), 20.0, START).home_region_hosts;
    assert_eq!(listed.into_iter().collect::<Vec<_>>(), ["mostly"]);
}

#[test]
fn usage_is_summed_over_lenders_when_proxies_are_too_many_to_hold_shares() {
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
            aggregator.record_report(report(&format!("p{proxy}"), 1, 0, second * 100), now)
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
fn a_leaseholder_without_the_divisor_uses_the_one_that_proxies_acknowledged() {
    let mut aggregator = FleetAggregator::default();
    aggregator.start_aggregating(0, START);
    aggregator.record_report(ProxyReport { quota_divisor: 9, ..report("a", 1, 0, 10) }, START);
    let summary = aggregator.summarize(Version::default(), 20.0, START);
    assert_eq!(
        (summary.quota_divisor, summary.tenants["t"].quota_shares),
        (9, 1.389),
        "eight proxies have not reported yet and count with the even share each"
    );
    let later = START.after(OWNER_EXPIRY);
    aggregator.record_report(ProxyReport { quota_divisor: 9, ..report("a", 1, 0, 10) }, later);
    assert_eq!(
        aggregator.summarize(Version::default(), 20.0, later).quota_divisor,
        1,
        "no other proxy has reported"
    );
}

/// Guards against a summary that tells each proxy that it is the only one, published after the control plane was killed
/// and no process knew the quota divisor any more (`vanewharf lab system`, seed 46).
#[test]
fn no_summary_is_ready_before_the_gathering_period_when_the_divisor_is_unknown() {
    let mut aggregator = FleetAggregator::default();
    aggregator.start_aggregating(0, START);
    assert!(!aggregator.is_ready(START.after(INITIAL_GATHERING_PERIOD)));
    aggregator.record_report(report("a", 1, 0, 10), START);
    assert!(!aggregator.is_ready(START.after(INITIAL_GATHERING_PERIOD / 2)), "others may still report");
    assert!(aggregator.is_ready(START.after(INITIAL_GATHERING_PERIOD)));
    let mut with_divisor = aggregator.clone();
    with_divisor.start_aggregating(9, START);
    assert!(
        with_divisor.is_ready(START)
            && with_divisor.summarize(Version::default(), 20.0, START).quota_divisor == 9
    );
    aggregator.record_report(ProxyReport { quota_divisor: 9, ..report("b", 1, 0, 10) }, START);
    assert!(aggregator.is_ready(START), "proxy b knows the divisor");
}

#[test]
fn the_share_of_an_inherited_proxy_is_reserved_until_it_reports() {
    let mut aggregator = FleetAggregator::default();
    aggregator.start_aggregating(0, START);
    let previous = FleetSummary {
        proxies: vec![report("isolated", 1, 0, 0).proxy, report("a", 1, 0, 0).proxy],
        ..FleetSummary::default()
    };
    aggregator.inherit_summary(&previous, START);
    let shares = [("t".to_owned(), 0.1)];
    aggregator.record_report(ProxyReport { quota_shares: shares.into(), ..report("a", 7, 0, 10) }, START);
    assert_eq!(aggregator.summarize(Version::default(), 20.0, START).tenants["t"].quota_shares, 1.0);
    let isolated_report =
        ProxyReport { quota_shares: [("t".to_owned(), 0.2)].into(), ..report("isolated", 8, 0, 10) };
    aggregator.record_report(isolated_report, START);
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

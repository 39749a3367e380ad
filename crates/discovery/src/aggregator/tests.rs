use super::*;
use vanewharf_protocol::messages::HostCounts;

const START: Timestamp = Timestamp(1_000_000_000);

fn report(name: &str, life: u64, age_ms: u64, through: u64) -> ProxyReport {
    let row = ProxyEntry {
        name: name.to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        ready: true,
    };
    let tenant = || "t".to_owned();
    let (let_through, slices) = ([(tenant(), through)].into(), [(tenant(), 0.5)].into());
    ProxyReport {
        proxy: row,
        incarnation: life,
        age_ms,
        quota_divisor: 0,
        admitted: let_through,
        quota_shares: slices,
        hosts: BTreeMap::new(),
        attempts: BTreeMap::new(),
    }
}

#[test]
fn uses_are_summed_over_doors_and_a_silent_one_stays_counted_for_a_while() {
    let mut sums = FleetAggregator::default();
    let at = |ms| START.after(Duration::from_millis(ms));
    for second in 0..4u64 {
        sums.record_report(report("a", 1, 0, second * 10), at(second * 1000));
        sums.record_report(report("b", 1, 0, second * 5), at(second * 1000));
        // Told twice, the second time late: nothing is counted again.
        sums.record_report(report("b", 1, 400, second * 5), at(second * 1000 + 100));
    }
    let ledger = sums.summarize(Version::default(), 20.0, at(3000));
    assert_eq!(ledger.tenants["t"], TenantUsage { requests_per_s: 15.0, quota_shares: 1.0 });
    sums.record_report(report("a", 1, 0, 100), at(7000));
    let ledger = sums.summarize(Version::default(), 20.0, at(7000));
    assert_eq!((ledger.quota_divisor, ledger.proxies[1].ready), (2, false), "b is counted and not named");
    let part = TenantUsage { requests_per_s: 17.5, quota_shares: 1.0 };
    assert_eq!(ledger.tenants["t"], part, "b's slice is counted, and what it let in at last is not");
    let doors: Vec<_> = ledger.proxies.iter().collect();
    assert_eq!(proxies_for_client(&doors, "r", None, 64).len(), 1);
    assert_eq!(sums.recent_reports(at(7000)).len(), 1);
    sums.record_report(report("a", 1, 0, 100), at(64_000));
    assert_eq!(sums.summarize(Version::default(), 20.0, at(64_000)).quota_divisor, 1);
}

#[test]
fn clients_of_a_host_with_homes_are_sent_home() {
    let row = |name: &str, region: &str, ready| ProxyEntry {
        region: region.to_owned(),
        ready,
        ..report(name, 1, 0, 0).proxy
    };
    let rows = [row("a", "r", true), row("b", "s", true), row("c", "s", false)];
    let doors: Vec<_> = rows.iter().collect();
    let names = |region, homes: &[&str]| {
        let homes: BTreeSet<_> = homes.iter().map(|home| home.to_string()).collect();
        let homes = Some(&homes).filter(|homes| !homes.is_empty());
        proxies_for_client(&doors, region, homes, 64).iter().map(|door| door.name.clone()).collect::<String>()
    };
    assert_eq!(
        (names("r", &[]), names("r", &["s"]), names("s", &["s", "r"])),
        ("a".into(), "b".into(), "b".into())
    );
    assert_eq!(names("r", &["t"]), "ab", "none is at home: any that is ready");
}

#[test]
fn a_host_is_homed_where_most_of_its_requests_are() {
    let mut sums = FleetAggregator::default();
    let hosts = [
        ("mostly".to_owned(), HostCounts { requests: 10, homed: 7 }),
        ("hardly".to_owned(), HostCounts { requests: 10, homed: 5 }),
    ];
    sums.record_report(ProxyReport { hosts: hosts.into(), ..report("a", 1, 0, 0) }, START);
    let homed = sums.summarize(Version::default(), 20.0, START).homed_hosts;
    assert_eq!(homed.into_iter().collect::<Vec<_>>(), ["mostly"]);
}

#[test]
fn where_doors_are_too_many_for_a_slice_each_the_lenders_are_summed() {
    let mut sums = FleetAggregator::default();
    let lent = |ip: u8, through, slice| {
        let (let_through, slices) = ([("t".to_owned(), through)].into(), [("t".to_owned(), slice)].into());
        TokenLeaseReport {
            ip: IpAddr::from([10, 0, 0, ip]),
            incarnation: 1,
            admitted: let_through,
            quota_shares: slices,
        }
    };
    for second in 0..3 {
        let now = START.after(Duration::from_secs(second));
        sums.record_lease_report(lent(1, second * 8, 0.4), now);
        sums.record_lease_report(lent(2, second * 4, 0.5), now);
        (0..20).for_each(|door| sums.record_report(report(&format!("d{door}"), 1, 0, second * 100), now));
    }
    let ledger = sums.summarize(Version::default(), 20.0, START.after(Duration::from_secs(2)));
    assert_eq!(
        (ledger.token_lenders, ledger.tenants["t"]),
        (Some(2), TenantUsage { requests_per_s: 12.0, quota_shares: 0.9 })
    );
    let ledger = sums.summarize(Version::default(), 60.0, START.after(Duration::from_secs(2)));
    assert_eq!((ledger.token_lenders, ledger.tenants["t"].requests_per_s), (None, 2000.0));
}

#[test]
fn a_holder_that_has_forgotten_divides_by_what_doors_were_told() {
    let mut sums = FleetAggregator::default();
    sums.start_aggregating(0, START);
    sums.record_report(ProxyReport { quota_divisor: 9, ..report("a", 1, 0, 10) }, START);
    let ledger = sums.summarize(Version::default(), 20.0, START);
    assert_eq!(
        (ledger.quota_divisor, ledger.tenants["t"].quota_shares),
        (9, 1.389),
        "eight are to come, at the even slice"
    );
    let later = START.after(COUNTED);
    sums.record_report(ProxyReport { quota_divisor: 9, ..report("a", 1, 0, 10) }, later);
    assert_eq!(sums.summarize(Version::default(), 20.0, later).quota_divisor, 1, "nobody else came");
}

/// Found by `vanewharf lab system`, seed 46: every door took itself for the only one after the core was killed.
#[test]
fn nothing_is_divided_before_a_door_is_heard_nor_by_the_first_of_those_that_have_forgotten() {
    let mut sums = FleetAggregator::default();
    sums.start_aggregating(0, START);
    assert!(!sums.is_ready(START.after(GATHERING)));
    sums.record_report(report("a", 1, 0, 10), START);
    assert!(!sums.is_ready(START.after(GATHERING / 2)), "the others are on their way");
    assert!(sums.is_ready(START.after(GATHERING)));
    let mut knows = sums.clone();
    knows.start_aggregating(9, START);
    assert!(knows.is_ready(START) && knows.summarize(Version::default(), 20.0, START).quota_divisor == 9);
    sums.record_report(ProxyReport { quota_divisor: 9, ..report("b", 1, 0, 10) }, START);
    assert!(sums.is_ready(START), "this one knows");
}

#[test]
fn what_an_unheard_door_holds_is_not_given_to_others() {
    let mut sums = FleetAggregator::default();
    sums.start_aggregating(0, START);
    let before = FleetSummary {
        proxies: vec![report("cut", 1, 0, 0).proxy, report("a", 1, 0, 0).proxy],
        ..FleetSummary::default()
    };
    sums.inherit_summary(&before, START);
    let slices = [("t".to_owned(), 0.1)];
    sums.record_report(ProxyReport { quota_shares: slices.into(), ..report("a", 7, 0, 10) }, START);
    assert_eq!(sums.summarize(Version::default(), 20.0, START).tenants["t"].quota_shares, 1.0);
    let told = ProxyReport { quota_shares: [("t".to_owned(), 0.2)].into(), ..report("cut", 8, 0, 10) };
    sums.record_report(told, START);
    let slices = sums.summarize(Version::default(), 20.0, START).tenants["t"].quota_shares;
    assert!((slices - 0.3).abs() < 1e-9, "{slices}");
}

#[test]
fn a_new_life_counts_from_nothing() {
    let mut sums = FleetAggregator::default();
    sums.record_report(report("a", 1, 0, 1000), START);
    sums.record_report(report("a", 2, 0, 3), START.after(Duration::from_secs(1)));
    sums.record_report(report("a", 2, 0, 13), START.after(Duration::from_secs(2)));
    assert_eq!(
        sums.summarize(Version::default(), 20.0, START.after(Duration::from_secs(2))).tenants["t"]
            .requests_per_s,
        10.0
    );
}

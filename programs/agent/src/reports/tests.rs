use super::*;
use vanewharf_protocol::messages::ProxyEntry;

const START: Timestamp = Timestamp(1_000_000_000);

fn report(name: &str, age_ms: u64) -> ProxyReport {
    ProxyReport {
        proxy: ProxyEntry {
            name: name.to_owned(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "z".to_owned(),
            region: "r".to_owned(),
            ready: true,
        },
        incarnation: 1,
        age_ms,
        quota_divisor: 0,
        admitted: BTreeMap::new(),
        quota_shares: BTreeMap::new(),
        hosts: BTreeMap::new(),
        attempts: BTreeMap::new(),
    }
}

fn names(store: &ReportStore, now: Timestamp) -> Vec<String> {
    store.current(now).into_iter().map(|report| report.proxy.name).collect()
}

#[test]
fn the_local_report_comes_first_and_is_not_duplicated() {
    let mut store = ReportStore::default();
    store.record_local(report("local", 100), START);
    store.record_relayed(&[report("a", 0), report("local", 0)], START);
    assert_eq!(names(&store, START), ["local", "a"]);
    assert_eq!(store.current(START.after(Duration::from_millis(50)))[0].age_ms, 150);
    let later = START.after(Duration::from_millis(700));
    assert_eq!(names(&store, later), ["a", "local"], "the local report is too old, the relayed one is not");
    assert!(names(&store, START.after(Duration::from_millis(800))).is_empty());
}

#[test]
fn the_number_of_relayed_reports_is_limited() {
    let mut store = ReportStore::default();
    let reports: Vec<_> = (0..20).map(|no| report(&format!("p{no:02}"), 0)).collect();
    store.record_relayed(&reports, START);
    assert_eq!(names(&store, START).len(), MAX_RELAYED_REPORTS);
    store.record_relayed(&reports[10..], START.after(Duration::from_millis(100)));
    assert!(!names(&store, START).contains(&"p10".to_owned()), "the limit is reached");
    let later = START.after(Duration::from_millis(900));
    store.record_relayed(&reports[10..], later);
    assert_eq!(names(&store, later)[0], "p10", "the first reports are too old");
}

use super::*;

#[test]
fn clients_of_a_host_with_home_regions_are_sent_to_these_regions() {
    let entry = |name: &str, region: &str, ready| ProxyEntry {
        name: name.to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".to_owned(),
        region: region.to_owned(),
        ready,
    };
    let entries = [entry("a", "r", true), entry("b", "s", true), entry("c", "s", false)];
    let proxies: Vec<_> = entries.iter().collect();
    let names = |region, home_regions: &[&str]| {
        let home_regions: BTreeSet<_> = home_regions.iter().map(|home| home.to_string()).collect();
        let home_regions = Some(&home_regions).filter(|regions| !regions.is_empty());
        proxies_for_client(&proxies, region, home_regions, 64)
            .iter()
            .map(|proxy| proxy.name.clone())
            .collect::<String>()
    };
    assert_eq!(
        (names("r", &[]), names("r", &["s"]), names("s", &["s", "r"])),
        ("a".into(), "b".into(), "b".into())
    );
    assert_eq!(names("r", &["t"]), "ab", "without a proxy in a home region, all ready proxies are returned");
}

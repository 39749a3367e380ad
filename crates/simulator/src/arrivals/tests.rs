use super::*;

fn experiment(change: &str) -> Experiment {
    let text = format!(
        "name = \"a\"\nlength_s = 20\n{change}\n[fleet]\ndoors = 20\nbackends = 20\n[[product]]\nname = \"look\"\nshare = 1\n\
         work_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\nunits = 2\n[[plan]]\nname = \"basic\"\n\
         share = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n"
    );
    Experiment::parse(&text).expect("a valid experiment")
}

#[test]
fn the_generated_load_matches_the_setting_and_is_reproducible() {
    let plain = experiment("customers = {full = 0.0, heavy = 0.0, spiky = 0.0, calm = 0.3}");
    let arrivals = generate_arrivals(&plain, 3);
    let load = arrivals.first_tries.len() as f64 / 20.0 / arrivals.requests_per_s_at_capacity;
    assert!((0.48..0.52).contains(&load), "load of {load} of capacity, expected 0.5");
    assert_eq!(generate_arrivals(&plain, 3).first_tries, arrivals.first_tries);
    assert_ne!(generate_arrivals(&plain, 4).first_tries, arrivals.first_tries);
}

#[test]
fn a_customer_uses_only_gateways_of_its_subset() {
    let arrivals = generate_arrivals(&experiment(""), 3);
    let customer = &arrivals.customers[0];
    let gateways: std::collections::BTreeSet<_> =
        (0..1_000).map(|no| customer.gateway(seconds(3.0), f64::from(no) / 1_000.0, 20)).collect();
    assert!(gateways.len() <= customer.subset_size && gateways.len() > 1);
    assert!(
        gateways.iter().all(|gateway| (gateway + 20 - customer.subset_start) % 20 < customer.subset_size)
    );
}

#[test]
fn a_flood_raises_the_demand_of_the_affected_customers_while_it_lasts() {
    let flooding = experiment("fault = [{kind = \"flood\", at_s = 5, for_s = 5, part = 0.1, size = 10}]");
    let arrivals = generate_arrivals(&flooding, 3);
    let count = |from: f64, to: f64, selected: &dyn Fn(usize) -> bool| {
        arrivals
            .first_tries
            .iter()
            .filter(|first| first.at >= seconds(from) && first.at < seconds(to) && selected(first.customer))
            .count()
    };
    let affected = |customer: usize| customer.is_multiple_of(10);
    let unaffected = |customer: usize| !customer.is_multiple_of(10);
    assert!(count(5.0, 10.0, &affected) > 5 * count(10.0, 15.0, &affected));
    assert!(count(5.0, 10.0, &unaffected) < 2 * count(10.0, 15.0, &unaffected));
}

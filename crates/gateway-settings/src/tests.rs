use super::*;
use serde_json::json;
use vanewharf_policy::interface::{Idempotency, PlanId, Ticks};

#[test]
fn flat_and_nested_options_agree() {
    let nested = json!({
        "balancers": 3,
        "family_info": {"most_units": 8},
        "allowed": {"cancel": true, "most_tries": 3, "conn_idle": 15000.0, "dial_timeout": 250.0},
        "classes": [{"name": "look", "aim": 400.0, "gain": 1.5, "idempotency": "dedup", "group": "all",
            "window": 5000.25, "hard_limit": 1500.4}],
        "tiers_of_service": [{"name": "basic", "rate": 2, "store_size": 16.0}, {"name": "gold"}],
        "odd": null
    });
    let flat = "balancers=3 allowed.cancel=true allowed.most_tries=3 allowed.conn_idle=15000.0 \
        allowed.dial_timeout=250.0 classes.count=1 classes.0.name=look classes.0.aim=400.0 \
        classes.0.gain=1.5 classes.0.idempotency=dedup classes.0.group=all classes.0.window=5000.25 \
        classes.0.hard_limit=1500.4 family_info.most_units=8 \
        tiers_of_service.count=2 tiers_of_service.0.name=basic tiers_of_service.0.rate=2 \
        tiers_of_service.0.store_size=16 tiers_of_service.1.name=gold";
    let flat = Options::flat(flat.split(' ').filter_map(|pair| pair.split_once('=')));
    let nested = Options::nested(&nested);
    let (from_flat, names) = balancer_config(&flat, 7, Ticks(5)).expect("valid");
    let (from_nested, _) = balancer_config(&nested, 7, Ticks(5)).expect("valid");
    assert_eq!(from_flat, from_nested);
    assert_eq!(names.plans["gold"], PlanId(1));
    let idempotency = Idempotency::Deduplicated { window: Ticks(50_002) };
    assert_eq!((from_flat.products[0].idempotency, from_flat.plans[0].rate), (idempotency, 2.0));
    let expected = ConnectionTimeouts { idle: Ticks(150_000), dial: Ticks(2_500) };
    assert_eq!(connection_timeouts(&nested).expect("valid"), expected);
    assert_eq!(connection_timeouts(&flat).expect("valid"), expected);
    let expected = RequestBounds { max_cost: 8.0, gateways: 3, max_expiries: vec![Ticks(15_010)] };
    assert_eq!(request_bounds(&nested).expect("valid"), expected);
    assert_eq!(request_bounds(&flat).expect("valid"), expected);
}

#[test]
fn an_error_names_the_setting_that_cannot_be_parsed() {
    let invalid = Options::nested(&json!({"classes": [{"gain": "much"}]}));
    let error = balancer_config(&invalid, 7, Ticks(5)).expect_err("not a number");
    assert_eq!(error.to_string(), "setting classes.0.gain is missing or invalid: 'much'");
    assert!(balancer_config(&Options::flat([("rules.cold_from", "inf")]), 7, Ticks(5)).is_err());
}

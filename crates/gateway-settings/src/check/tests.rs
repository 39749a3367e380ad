use super::*;
use serde_json::{Value, json};

/// Validates settings that are valid except for the given changes. A change is a JSON pointer and a value; null removes
/// the setting.
fn check_changed(changes: &[(&str, Value)], peers: Option<usize>) -> Result<(), String> {
    let mut settings = json!({
        "balancers": 3, "me": 1,
        "allowed": {"cancel": true, "peer_messages": peers.is_some(), "max_retry_after": 1000.0,
            "most_tries": 6},
        "classes": [{"name": "look", "aim": 400.0, "gain": 1.0, "idempotency": "retryable",
            "stream": false}],
        "family_info": {"most_units": 8, "peer_in_per_s": 40.0, "shared_counter": peers.is_none(),
            "count_wait": 30.0, "trued_up": false, "use_period": 1000.0},
        "tiers_of_service": [{"name": "basic", "rate": 2.0, "store_size": 9.0, "at_once": 0}],
        "rules": {"cold_from": 0.24, "ramp_time": 13000.0},
        "odd": {"key": "-1"}
    });
    for (path, value) in changes {
        *settings.pointer_mut(path).expect("an existing setting") = value.clone();
    }
    check(&Options::nested(&settings), peers).map_err(|error| error.to_string())
}

#[test]
fn accepts_either_way_of_sharing_quotas() {
    assert_eq!(check_changed(&[], None), Ok(()));
    assert_eq!(check_changed(&[], Some(3)), Ok(()));
    // Settings of a platform that gives neither the number of gateways nor this gateway's own number.
    assert_eq!(check_changed(&[("/me", json!(null)), ("/balancers", json!(null))], None), Ok(()));
}

#[test]
fn an_error_names_the_invalid_setting() {
    let cases = [
        ("/me", json!(3), "me"),
        ("/me", json!(-1), "me"),
        ("/balancers", json!("many"), "balancers"),
        ("/balancers", json!(2.5), "balancers"),
        ("/allowed/cancel", json!("yes"), "allowed.cancel"),
        ("/allowed/max_retry_after", json!(-0.5), "allowed.max_retry_after"),
        ("/classes/0/aim", json!("soon"), "classes.0.aim"),
        ("/classes/0/aim", json!("nan"), "classes.0.aim"),
        ("/classes/0/aim", json!("inf"), "classes.0.aim"),
        ("/classes/0/aim", json!(1e12), "classes.0.aim"),
        ("/classes/0/stream", json!(true), "classes.0.stream"),
        ("/classes", json!([]), "classes"),
        ("/rules/cold_from", json!(1.5), "rules.cold_from"),
        ("/tiers_of_service/0/rate", json!(-2), "tiers_of_service.0.rate"),
        ("/tiers_of_service/0/at_once", json!(2), "tiers_of_service.0.at_once"),
        ("/tiers_of_service", json!(null), "tiers_of_service"),
        ("/family_info/count_wait", json!(null), "family_info.count_wait"),
    ];
    for (path, value, key) in cases {
        let error = check_changed(&[(path, value.clone())], None).expect_err(path);
        assert!(error.starts_with(&format!("invalid setting {key}: ")), "{path} {value}: {error}");
        assert!(!error.contains('\n'));
    }
}

#[test]
fn an_error_names_the_setting_that_conflicts_with_others() {
    let cases = [
        ("/allowed/peer_messages", json!(true), None, "peers.doors"),
        ("/allowed/peer_messages", json!(false), Some(3), "allowed.peer_messages"),
        ("/family_info/shared_counter", json!(true), Some(3), "family_info.shared_counter"),
        ("/family_info/trued_up", json!(true), Some(3), "family_info.trued_up"),
        ("/balancers", json!(4), Some(3), "peers.doors"),
        ("/me", json!(null), Some(3), "me"),
        ("/family_info/most_units", json!(null), Some(3), "family_info.most_units"),
        ("/family_info/peer_in_per_s", json!(0), Some(3), "family_info.peer_in_per_s"),
    ];
    for (path, value, peers, key) in cases {
        let error = check_changed(&[(path, value)], peers).expect_err(path);
        assert!(error.starts_with(&format!("invalid setting {key}: ")), "{path}: {error}");
    }
}

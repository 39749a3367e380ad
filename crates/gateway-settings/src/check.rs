//! What a configuration must hold to before a door starts by it: each setting that the decisions read is a
//! number in its range or a flag, and the settings name one shape of deployment. Settings that are not known
//! here are the platform's own concern.

use crate::Options;
use std::fmt;

/// The setting that stands in the way, and why.
#[derive(Debug, PartialEq)]
pub struct Refused {
    pub key: String,
    pub why: String,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is refused: {}", self.key, self.why)
    }
}

impl std::error::Error for Refused {}

const WHOLE: &[&str] = &["balancers", "me", "allowed.most_tries", "classes.count", "tiers_of_service.count"];

const FLAGS: &[&str] = &[
    "allowed.cancel",
    "allowed.second_copies",
    "allowed.retry_after",
    "allowed.peer_messages",
    "classes.#.stream",
    "family_info.shared_counter",
    "family_info.trued_up",
];

/// With the most that each may be.
const NUMBERS: &[(&str, f64)] = &[
    ("allowed.max_retry_after", LONG),
    ("allowed.conn_idle", LONG),
    ("allowed.dial_timeout", LONG),
    ("classes.#.aim", LONG),
    ("classes.#.gain", MANY),
    ("classes.#.hard_limit", LONG),
    ("classes.#.window", LONG),
    ("family_info.count_wait", LONG),
    ("family_info.most_units", MANY),
    ("family_info.peer_in_per_s", MANY),
    ("family_info.use_period", LONG),
    ("rules.ask_within", LONG),
    ("rules.cold_from", 1.0),
    ("rules.ramp_time", LONG),
    ("tiers_of_service.#.at_once", MANY),
    ("tiers_of_service.#.ceiling_rate", MANY),
    ("tiers_of_service.#.excess_cost", MANY),
    ("tiers_of_service.#.excess_worth", MANY),
    ("tiers_of_service.#.never_over_depth", MANY),
    ("tiers_of_service.#.rate", MANY),
    ("tiers_of_service.#.store_size", MANY),
    ("tiers_of_service.#.value_factor", MANY),
];

/// A day in milliseconds.
const LONG: f64 = 86_400_000.0;
const MANY: f64 = 1e9;

/// Settings that stand for lists have their items' numbers in their paths.
fn form(key: &str) -> String {
    let part = |part: &str| if part.parse::<usize>().is_ok() { "#".to_owned() } else { part.to_owned() };
    key.split('.').map(part).collect::<Vec<_>>().join(".")
}

/// `peers` is the number of doors in the operator's list, where there is one.
pub fn check(options: &Options, peers: Option<usize>) -> Result<(), Refused> {
    let refused = |key: &str, why: &str| Err(Refused { key: key.to_owned(), why: why.to_owned() });
    for (key, value) in options.sorted() {
        let form = form(key);
        if WHOLE.contains(&form.as_str()) && value.parse::<u32>().is_err() {
            return refused(key, &format!("'{value}' is no whole number"));
        }
        if FLAGS.contains(&form.as_str()) && value.parse::<bool>().is_err() {
            return refused(key, &format!("'{value}' is neither true nor false"));
        }
        if let Some((_, most)) = NUMBERS.iter().find(|(known, _)| *known == form) {
            match value.parse::<f64>() {
                Ok(number) if (0.0..=*most).contains(&number) => {}
                Ok(number) if number.is_finite() => {
                    return refused(key, &format!("{value} is not from 0 to {most}"));
                }
                _ => return refused(key, &format!("'{value}' is no number")),
            }
        }
        // What this build no longer does must not be taken for done.
        if form == "tiers_of_service.#.at_once" && value.parse() != Ok(0.0) {
            return refused(key, "caps on submissions open at once are not held");
        }
        if form == "classes.#.stream" && value == "true" {
            return refused(key, "streamed answers are not passed on");
        }
    }
    for key in ["classes.count", "tiers_of_service.count"] {
        if options.whole::<usize>(key).unwrap_or_default() == 0 {
            return refused(key.trim_end_matches(".count"), "missing");
        }
    }
    let number = |key| options.whole::<f64>(key).unwrap_or_default();
    let flag = |key| options.whole::<bool>(key).unwrap_or_default();
    let doors = options.whole::<u32>("balancers").unwrap_or(1);
    if options.whole::<u32>("me").unwrap_or_default() >= doors.max(1) {
        return refused("me", "not below balancers");
    }
    if flag("family_info.shared_counter") && number("family_info.count_wait") <= 0.0 {
        return refused("family_info.count_wait", "missing, though family_info.shared_counter is true");
    }
    match (flag("allowed.peer_messages"), peers) {
        (false, None) => Ok(()),
        (true, None) => refused("peers.doors", "missing, though allowed.peer_messages is true"),
        (false, Some(_)) => refused("allowed.peer_messages", "not true, though peers.doors is given"),
        (true, Some(_)) if flag("family_info.shared_counter") => {
            refused("family_info.shared_counter", "true beside allowed.peer_messages: one keeps the quotas")
        }
        (true, Some(_)) if flag("family_info.trued_up") => {
            refused("family_info.trued_up", "true beside allowed.peer_messages: keepers hear no true units")
        }
        (true, Some(listed)) if listed != doors as usize => {
            refused("peers.doors", &format!("{listed} addresses for {doors} balancers"))
        }
        (true, Some(_)) if options.whole::<u32>("me").is_err() => refused("me", "missing"),
        (true, Some(_)) if number("family_info.most_units") <= 0.0 => {
            refused("family_info.most_units", "missing, though allowed.peer_messages is true")
        }
        (true, Some(_)) if number("family_info.peer_in_per_s") < 1.0 => {
            refused("family_info.peer_in_per_s", "missing or below 1, though allowed.peer_messages is true")
        }
        (true, Some(_)) => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    /// Changes to settings that are good by themselves: (path, value), null takes one out.
    fn checked(changes: &[(&str, Value)], peers: Option<usize>) -> Result<(), String> {
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
            *settings.pointer_mut(path).expect("a setting of these") = value.clone();
        }
        check(&Options::nested(&settings), peers).map_err(|refused| refused.to_string())
    }

    #[test]
    fn either_shape_by_itself_is_taken() {
        assert_eq!(checked(&[], None), Ok(()));
        assert_eq!(checked(&[], Some(3)), Ok(()));
        // As a platform that names neither doors nor numbers has it.
        assert_eq!(checked(&[("/me", json!(null)), ("/balancers", json!(null))], None), Ok(()));
    }

    #[test]
    fn what_is_out_of_range_or_of_another_form_is_refused_by_its_name() {
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
            let refused = checked(&[(path, value.clone())], None).expect_err(path);
            assert!(refused.starts_with(&format!("{key} is refused: ")), "{path} {value}: {refused}");
            assert!(!refused.contains('\n'));
        }
    }

    #[test]
    fn a_mix_of_the_shapes_is_refused_by_the_key_that_mixes_them() {
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
            let refused = checked(&[(path, value)], peers).expect_err(path);
            assert!(refused.starts_with(&format!("{key} is refused: ")), "{path}: {refused}");
        }
    }
}

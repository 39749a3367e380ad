//! What a configuration must satisfy before a gateway starts with it: each setting that the policy reads is a number in
//! its range or a flag, and the settings together describe one shape of deployment. Settings that are not known here are
//! the platform's own concern.

use crate::options::Options;
use thiserror::Error;

/// The setting that is refused, and why.
#[derive(Debug, Error, PartialEq)]
#[error("{key} is refused: {reason}")]
pub struct InvalidSetting {
    /// The setting's dotted path.
    pub key: String,
    /// Why it is refused.
    pub reason: String,
}

/// Settings that are whole numbers; `#` stands for an index.
const INTEGERS: &[&str] =
    &["balancers", "me", "allowed.most_tries", "classes.count", "tiers_of_service.count"];

/// Settings that are true or false.
const FLAGS: &[&str] = &[
    "allowed.cancel",
    "allowed.second_copies",
    "allowed.retry_after",
    "allowed.peer_messages",
    "classes.#.stream",
    "family_info.shared_counter",
    "family_info.trued_up",
];

/// Settings that are numbers from 0 on, with the greatest value of each.
const NUMBERS: &[(&str, f64)] = &[
    ("allowed.max_retry_after", MAX_SPAN_MS),
    ("allowed.conn_idle", MAX_SPAN_MS),
    ("allowed.dial_timeout", MAX_SPAN_MS),
    ("classes.#.aim", MAX_SPAN_MS),
    ("classes.#.gain", MAX_AMOUNT),
    ("classes.#.hard_limit", MAX_SPAN_MS),
    ("classes.#.window", MAX_SPAN_MS),
    ("family_info.count_wait", MAX_SPAN_MS),
    ("family_info.most_units", MAX_AMOUNT),
    ("family_info.peer_in_per_s", MAX_AMOUNT),
    ("family_info.use_period", MAX_SPAN_MS),
    ("rules.ask_within", MAX_SPAN_MS),
    ("rules.cold_from", 1.0),
    ("rules.ramp_time", MAX_SPAN_MS),
    ("tiers_of_service.#.at_once", MAX_AMOUNT),
    ("tiers_of_service.#.ceiling_rate", MAX_AMOUNT),
    ("tiers_of_service.#.excess_cost", MAX_AMOUNT),
    ("tiers_of_service.#.excess_worth", MAX_AMOUNT),
    ("tiers_of_service.#.never_over_depth", MAX_AMOUNT),
    ("tiers_of_service.#.rate", MAX_AMOUNT),
    ("tiers_of_service.#.store_size", MAX_AMOUNT),
    ("tiers_of_service.#.value_factor", MAX_AMOUNT),
];

/// A day in milliseconds.
const MAX_SPAN_MS: f64 = 86_400_000.0;
const MAX_AMOUNT: f64 = 1e9;

/// Checks all options. `peer_addresses` is the number of gateways in the operator's list, where there is one.
///
/// # Errors
///
/// The first setting that is refused: single values come first, in the order of their paths, then what settings mean
/// together.
pub fn check(options: &Options, peer_addresses: Option<usize>) -> Result<(), InvalidSetting> {
    for (key, value) in options.sorted() {
        check_value(key, value)?;
    }
    check_lists(options)?;
    check_numbering(options)?;
    check_shared_counter(options)?;
    check_peers(options, peer_addresses)
}

fn invalid(key: &str, reason: &str) -> Result<(), InvalidSetting> {
    Err(InvalidSetting { key: key.to_owned(), reason: reason.to_owned() })
}

/// A path with `#` in place of each index.
fn without_indexes(key: &str) -> String {
    let part = |part: &str| if part.parse::<usize>().is_ok() { "#".to_owned() } else { part.to_owned() };
    key.split('.').map(part).collect::<Vec<_>>().join(".")
}

fn check_value(key: &str, value: &str) -> Result<(), InvalidSetting> {
    let path = without_indexes(key);
    if INTEGERS.contains(&path.as_str()) && value.parse::<u32>().is_err() {
        return invalid(key, &format!("'{value}' is no whole number"));
    }
    if FLAGS.contains(&path.as_str()) && value.parse::<bool>().is_err() {
        return invalid(key, &format!("'{value}' is neither true nor false"));
    }
    if let Some((_, max)) = NUMBERS.iter().find(|(known, _)| *known == path) {
        check_range(key, value, *max)?;
    }
    // A feature that this build does not implement must not be taken for one that is in force.
    if path == "tiers_of_service.#.at_once" && value.parse() != Ok(0.0) {
        return invalid(key, "caps on submissions open at once are not held");
    }
    if path == "classes.#.stream" && value == "true" {
        return invalid(key, "streamed answers are not passed on");
    }
    Ok(())
}

fn check_range(key: &str, value: &str, max: f64) -> Result<(), InvalidSetting> {
    match value.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Ok(()),
        Ok(number) if number.is_finite() => invalid(key, &format!("{value} is not from 0 to {max}")),
        _ => invalid(key, &format!("'{value}' is no number")),
    }
}

fn check_lists(options: &Options) -> Result<(), InvalidSetting> {
    for key in ["classes.count", "tiers_of_service.count"] {
        if options.required::<usize>(key).unwrap_or_default() == 0 {
            return invalid(key.trim_end_matches(".count"), "missing");
        }
    }
    Ok(())
}

fn number(options: &Options, key: &str) -> f64 {
    options.required(key).unwrap_or_default()
}

fn flag(options: &Options, key: &str) -> bool {
    options.required(key).unwrap_or_default()
}

fn gateways(options: &Options) -> u32 {
    options.required("balancers").unwrap_or(1)
}

fn check_numbering(options: &Options) -> Result<(), InvalidSetting> {
    let own_number: u32 = options.required("me").unwrap_or_default();
    if own_number >= gateways(options).max(1) {
        return invalid("me", "not below balancers");
    }
    Ok(())
}

fn check_shared_counter(options: &Options) -> Result<(), InvalidSetting> {
    if flag(options, "family_info.shared_counter") && number(options, "family_info.count_wait") <= 0.0 {
        return invalid("family_info.count_wait", "missing, though family_info.shared_counter is true");
    }
    Ok(())
}

/// Gateways either share quotas through messages to each other, or through the shared counter, or not at all.
fn check_peers(options: &Options, peer_addresses: Option<usize>) -> Result<(), InvalidSetting> {
    let listed = match (flag(options, "allowed.peer_messages"), peer_addresses) {
        (false, None) => return Ok(()),
        (true, None) => return invalid("peers.doors", "missing, though allowed.peer_messages is true"),
        (false, Some(_)) => return invalid("allowed.peer_messages", "not true, though peers.doors is given"),
        (true, Some(listed)) => listed,
    };
    if flag(options, "family_info.shared_counter") {
        let reason = "true beside allowed.peer_messages: one keeps the quotas";
        return invalid("family_info.shared_counter", reason);
    }
    if flag(options, "family_info.trued_up") {
        let reason = "true beside allowed.peer_messages: keepers hear no true units";
        return invalid("family_info.trued_up", reason);
    }
    let gateways = gateways(options);
    if listed != gateways as usize {
        return invalid("peers.doors", &format!("{listed} addresses for {gateways} balancers"));
    }
    if options.required::<u32>("me").is_err() {
        return invalid("me", "missing");
    }
    if number(options, "family_info.most_units") <= 0.0 {
        return invalid("family_info.most_units", "missing, though allowed.peer_messages is true");
    }
    if number(options, "family_info.peer_in_per_s") < 1.0 {
        let reason = "missing or below 1, though allowed.peer_messages is true";
        return invalid("family_info.peer_in_per_s", reason);
    }
    Ok(())
}

#[cfg(test)]
mod tests;

//! Validation of settings before a gateway starts with them. Each setting that the policy uses must be a number
//! within its range or a flag, and all settings together must describe one way of sharing quotas between gateways.
//! Unknown settings are ignored, as they belong to the platform.

use crate::options::Options;
use thiserror::Error;

/// A setting that fails validation.
#[derive(Debug, Error, PartialEq)]
#[error("invalid setting {key}: {reason}")]
pub struct InvalidSetting {
    /// Dotted path of the setting.
    pub key: String,
    /// Why the setting is invalid.
    pub reason: String,
}

/// Settings that are integers. In all paths, `#` stands for a list index.
const INTEGERS: &[&str] =
    &["balancers", "me", "allowed.most_tries", "classes.count", "tiers_of_service.count"];

/// Settings that are booleans.
const FLAGS: &[&str] = &[
    "allowed.cancel",
    "allowed.second_copies",
    "allowed.retry_after",
    "allowed.peer_messages",
    "classes.#.stream",
    "family_info.shared_counter",
    "family_info.trued_up",
];

/// Settings that are non-negative numbers, with their maximum values.
const NUMBERS: &[(&str, f64)] = &[
    ("allowed.max_retry_after", MAX_DURATION_MS),
    ("allowed.conn_idle", MAX_DURATION_MS),
    ("allowed.dial_timeout", MAX_DURATION_MS),
    ("classes.#.aim", MAX_DURATION_MS),
    ("classes.#.gain", MAX_AMOUNT),
    ("classes.#.hard_limit", MAX_DURATION_MS),
    ("classes.#.window", MAX_DURATION_MS),
    ("family_info.count_wait", MAX_DURATION_MS),
    ("family_info.most_units", MAX_AMOUNT),
    ("family_info.peer_in_per_s", MAX_AMOUNT),
    ("family_info.use_period", MAX_DURATION_MS),
    ("rules.ask_within", MAX_DURATION_MS),
    ("rules.cold_from", 1.0),
    ("rules.ramp_time", MAX_DURATION_MS),
    ("tiers_of_service.#.at_once", MAX_AMOUNT),
    ("tiers_of_service.#.ceiling_rate", MAX_AMOUNT),
    ("tiers_of_service.#.excess_cost", MAX_AMOUNT),
    ("tiers_of_service.#.excess_worth", MAX_AMOUNT),
    ("tiers_of_service.#.never_over_depth", MAX_AMOUNT),
    ("tiers_of_service.#.rate", MAX_AMOUNT),
    ("tiers_of_service.#.store_size", MAX_AMOUNT),
    ("tiers_of_service.#.value_factor", MAX_AMOUNT),
];

/// Maximum of a duration: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// Maximum of any other number.
const MAX_AMOUNT: f64 = 1e9;

/// Validates all settings. `peer_count` is the number of gateways in the operator's list of peers, if it has one.
///
/// # Errors
///
/// Returns the first invalid setting. Single values are checked first, in the order of their paths, and combinations of
/// settings after that.
pub fn check(options: &Options, peer_count: Option<usize>) -> Result<(), InvalidSetting> {
    for (key, value) in options.sorted() {
        check_value(key, value)?;
    }
    check_lists(options)?;
    check_gateway_number(options)?;
    check_shared_counter(options)?;
    check_quota_sharing(options, peer_count)
}

fn invalid(key: &str, reason: &str) -> Result<(), InvalidSetting> {
    Err(InvalidSetting { key: key.to_owned(), reason: reason.to_owned() })
}

/// Replaces each list index in a path by `#`.
fn replace_indexes(key: &str) -> String {
    let part = |part: &str| if part.parse::<usize>().is_ok() { "#".to_owned() } else { part.to_owned() };
    key.split('.').map(part).collect::<Vec<_>>().join(".")
}

fn check_value(key: &str, value: &str) -> Result<(), InvalidSetting> {
    let path = replace_indexes(key);
    if INTEGERS.contains(&path.as_str()) && value.parse::<u32>().is_err() {
        return invalid(key, &format!("'{value}' is not a non-negative integer"));
    }
    if FLAGS.contains(&path.as_str()) && value.parse::<bool>().is_err() {
        return invalid(key, &format!("'{value}' is neither true nor false"));
    }
    if let Some((_, max)) = NUMBERS.iter().find(|(known, _)| *known == path) {
        check_range(key, value, *max)?;
    }
    // Features that are not implemented are rejected, so that operators do not assume that they are in effect.
    if path == "tiers_of_service.#.at_once" && value.parse() != Ok(0.0) {
        return invalid(key, "limits on concurrent submissions are not supported");
    }
    if path == "classes.#.stream" && value == "true" {
        return invalid(key, "streamed responses are not supported");
    }
    Ok(())
}

fn check_range(key: &str, value: &str, max: f64) -> Result<(), InvalidSetting> {
    match value.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Ok(()),
        Ok(number) if number.is_finite() => invalid(key, &format!("{value} is not between 0 and {max}")),
        _ => invalid(key, &format!("'{value}' is not a finite number")),
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

fn gateway_count(options: &Options) -> u32 {
    options.required("balancers").unwrap_or(1)
}

fn check_gateway_number(options: &Options) -> Result<(), InvalidSetting> {
    let own_number: u32 = options.required("me").unwrap_or_default();
    if own_number >= gateway_count(options).max(1) {
        return invalid("me", "must be less than balancers");
    }
    Ok(())
}

fn check_shared_counter(options: &Options) -> Result<(), InvalidSetting> {
    if flag(options, "family_info.shared_counter") && number(options, "family_info.count_wait") <= 0.0 {
        return invalid("family_info.count_wait", "required if family_info.shared_counter is true");
    }
    Ok(())
}

/// Checks that gateways share quotas either through peer messages, or through the shared counter, or not at all.
fn check_quota_sharing(options: &Options, peer_count: Option<usize>) -> Result<(), InvalidSetting> {
    let peer_count = match (flag(options, "allowed.peer_messages"), peer_count) {
        (false, None) => return Ok(()),
        (true, None) => return invalid("peers.doors", "required if allowed.peer_messages is true"),
        (false, Some(_)) => return invalid("allowed.peer_messages", "must be true if peers.doors is given"),
        (true, Some(peer_count)) => peer_count,
    };
    if flag(options, "family_info.shared_counter") {
        let reason = "cannot be combined with allowed.peer_messages, which also enforces the quotas";
        return invalid("family_info.shared_counter", reason);
    }
    if flag(options, "family_info.trued_up") {
        let reason =
            "cannot be combined with allowed.peer_messages: quota owners do not learn the actual units";
        return invalid("family_info.trued_up", reason);
    }
    let gateway_count = gateway_count(options);
    if peer_count != gateway_count as usize {
        let reason = format!("has {peer_count} addresses, but balancers is {gateway_count}");
        return invalid("peers.doors", &reason);
    }
    if options.required::<u32>("me").is_err() {
        return invalid("me", "missing");
    }
    if number(options, "family_info.most_units") <= 0.0 {
        return invalid("family_info.most_units", "required if allowed.peer_messages is true");
    }
    if number(options, "family_info.peer_in_per_s") < 1.0 {
        let reason = "must be at least 1 if allowed.peer_messages is true";
        return invalid("family_info.peer_in_per_s", reason);
    }
    Ok(())
}

#[cfg(test)]
mod tests;

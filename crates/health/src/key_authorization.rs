//! Expiry of access key authorizations at a proxy that may have missed a revocation.

use std::time::Duration;
use vanewharf_clock::Timestamp;

/// An authorization expires this long before the revocation deadline, because a request that is admitted just before
/// still has to be forwarded.
const FORWARDING_MARGIN: Duration = Duration::from_millis(600);

/// Returns whether access keys must no longer admit requests, because a revocation may have been acknowledged without
/// reaching this proxy.
///
/// A revocation takes effect at most `revocation_deadline` after it was acknowledged. If `binds_all_proxies` is set,
/// this includes proxies that are cut off from the control plane; otherwise it holds only for proxies in contact with
/// it, and authorizations never expire. `attested_at` is the time at which the register of this proxy was last
/// attested to be the newest, if it ever was.
pub fn key_authorization_expired(
    binds_all_proxies: bool,
    revocation_deadline: Duration,
    attested_at: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    let too_old = |attested_at| now.since(attested_at) + FORWARDING_MARGIN >= revocation_deadline;
    binds_all_proxies && attested_at.is_none_or(too_old)
}

#[cfg(test)]
mod tests;

//! How long a client's key may admit requests at a proxy that may have missed the key's revocation.

use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How much earlier than the rule says an authorization lapses: a request that is admitted just before still has to be
/// forwarded.
const SAFETY_MARGIN: Duration = Duration::from_millis(600);

/// Whether keys may no longer admit requests, since a revocation may have been acknowledged without reaching this proxy.
///
/// `binds_all_proxies`: a revocation must hold `revocation_deadline` after it was acknowledged also at proxies that are
/// cut off; otherwise only at those in contact with the control plane, where nothing lapses. `attested_at`: when the
/// register here was last attested to be the newest; none: never.
pub fn key_authorization_lapsed(
    binds_all_proxies: bool,
    revocation_deadline: Duration,
    attested_at: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    let too_old = |attested_at| now.since(attested_at) + SAFETY_MARGIN >= revocation_deadline;
    binds_all_proxies && attested_at.is_none_or(too_old)
}

#[cfg(test)]
mod tests;

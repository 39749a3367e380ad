//! Enforcement of tenants' quotas: each proxy has a token bucket per tenant, and each quota is divided among the proxies.
//! Admitting a request needs no remote call as long as the proxies hold the shares.
//!
//! # Mechanism
//!
//! Units: tokens (one admits one request), tokens per second, seconds. A process's *share* of a quota is a fraction of
//! the quota, from 0 to 1.
//!
//! - **Refill.** `tokens = min(B, tokens + r × elapsed)`, with `r = quota.rate × share` and
//!   `B = quota.burst × share + extra depth`. A request takes one token; if there is none, it is rejected with the time
//!   until the next one. See `bucket`.
//! - **Share.** Each fleet summary, about one per meter period (700 ms), rescales the share:
//!   `share = own admitted rate / metered rate`, both averaged over 3 s. It is at least a quarter of the even share (one
//!   over the number of processes) and at most twice the previous share. If the summary has no usage of the tenant, the
//!   share drifts towards the even share. See `share`.
//! - **Leased tokens.** If there are too many proxies for each to hold a share, the controllers hold the shares and lease
//!   tokens to proxies, which may request tokens in advance ([`TokenReserve`]). A proxy then uses buckets of its own only
//!   while no controller answers. See `fallback`.
//!
//! The crate does no input or output; callers pass the current time.

#![forbid(unsafe_code)]

mod bucket;
mod fallback;
mod quota;
mod share;
mod token_buckets;
mod token_reserve;

pub use self::quota::{Quota, QuotaExceeded};
pub use self::token_buckets::{InitialFill, ShareOwner, TokenBuckets};
pub use self::token_reserve::TokenReserve;

//! Admission by tenants' quotas: a token bucket for each tenant in each proxy, with the quotas divided among the proxies
//! without a call on the way of a request.
//!
//! # Mechanism
//!
//! Units: tokens (one admits one request), tokens per second, seconds. A process's *share* of a quota (its slice) is a
//! fraction of the quota, from 0 to 1.
//!
//! - **Refill.** `tokens = min(B, tokens + r × elapsed)`, with `r = quota.rate × share` and
//!   `B = quota.burst × share + depth beyond the share`. A request takes one token or is rejected with the time until
//!   there is one. See `bucket`.
//! - **Share.** With each fleet summary, about once a meter period (700 ms), the share is rescaled:
//!   `share = own admitted rate / metered rate`, both averaged over 3 s; at least a quarter of the even share (one over
//!   the number of processes), at most twice the share before; where the summary meters nothing, it drifts to the even
//!   share. See `share`.
//! - **Leased tokens.** Where proxies are too many to hold a share each, the controllers hold the shares and lease tokens
//!   to proxies, which may request some ahead ([`TokenReserve`]). A proxy then admits by buckets of its own only while no
//!   controller answers. See `fallback`.
//!
//! Nothing here does input or output; callers pass the current time.

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

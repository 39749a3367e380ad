//! Token buckets and slices of tenants' quotas. Nothing here does input or output; callers pass the current time.

mod token_buckets;
mod token_reserve;

pub use self::token_buckets::{Quota, TokenBuckets};
pub use self::token_reserve::TokenReserve;

//! Token buckets and slices of tenants' quotas: pure, told the time.

pub mod pocket;
pub mod quota;

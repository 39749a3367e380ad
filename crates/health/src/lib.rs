//! Protection of backends by proxies, and detection of unhealthy backends from the reports of all proxies.
//!
//! Fleet-wide limits (slow start, retries) are divided among the proxies in advance. Each proxy keeps to its part
//! without asking anyone, so the total holds even if some proxies are cut off.
//!
//! This crate performs no I/O; callers pass the current time and random numbers.

#![forbid(unsafe_code)]

mod attempt_history;
mod key_authorization;
mod outlier;
mod retry_budget;
mod slow_start;
mod weighted_choice;

pub use self::attempt_history::AttemptHistory;
pub use self::key_authorization::key_authorization_expired;
pub use self::outlier::{OutlierDetector, is_shared_cause, weight_for_failure_share};
pub use self::retry_budget::{RetryBudget, RetryPolicy};
pub use self::slow_start::{SlowStart, SlowStartLimit, SlowStartPolicy};
pub use self::weighted_choice::pick_weighted;

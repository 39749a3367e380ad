//! What a proxy does to protect backends, and what all proxies together know of the backends' health.
//!
//! Limits that hold for all proxies together are divided among them in advance (slow start, retries): each proxy keeps
//! to its part without asking anybody, so that the sum holds whichever of them are cut off.
//!
//! Nothing here does input or output; callers pass the current time and random numbers.

#![forbid(unsafe_code)]

mod attempt_history;
mod key_authorization;
mod outlier;
mod retry_budget;
mod slow_start;
mod weighted_choice;

pub use self::attempt_history::AttemptHistory;
pub use self::key_authorization::key_authorization_lapsed;
pub use self::outlier::{OutlierDetector, is_shared_cause, weight_for_failure_share};
pub use self::retry_budget::{RetryBudget, RetryPolicy};
pub use self::slow_start::{SlowStart, SlowStartLimit, SlowStartPolicy};
pub use self::weighted_choice::pick_weighted;

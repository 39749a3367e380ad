//! What is known of backends' health, and the allowances that protect them. Nothing here does input or output; callers
//! pass the current time.

mod allowance;
mod outlier;

pub use self::allowance::{
    RetryBudget, RetryPolicy, SlowStart, SlowStartShare, key_authorization_lapsed, pick_weighted,
    slow_start_share,
};
pub use self::outlier::{AttemptHistory, OutlierDetector, is_shared_cause, weight_for_failure_share};

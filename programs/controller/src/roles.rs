//! The roles of a controller.

pub mod backend_polling;
pub mod freshness_attestation;
pub mod leaseholder_follower;
pub mod membership_management;
pub mod report_aggregation;
pub mod token_lender;

use std::time::Duration;

/// How soon a duty is taken up with the lease.
const ALERT: Duration = Duration::from_millis(30);

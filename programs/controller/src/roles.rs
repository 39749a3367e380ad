//! The tasks of a controller beside the consensus replica, one module each. All but the follower are singleton roles: they
//! do something only while this process holds the lease.

pub mod backend_polling;
pub mod freshness_attestation;
pub mod leaseholder_following;
pub mod membership_management;
pub mod report_aggregation;
pub mod token_lending;

use std::time::Duration;

/// How often a singleton role looks whether this process holds the lease, while it does not.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

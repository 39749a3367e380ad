//! The tasks of a controller other than the consensus replica, one per module.
//!
//! [`leaseholder_following`] runs while another process holds the lease, and [`token_lending`] has no task: it serves token
//! leases on every controller. All other roles are leaseholder tasks, which are active only while this process holds the
//! lease.

pub mod backend_polling;
pub mod freshness_attestation;
pub mod leaseholder_following;
pub mod membership_management;
pub mod report_aggregation;
pub mod token_lending;

use std::time::Duration;

/// Interval at which an inactive leaseholder task checks whether this process holds the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

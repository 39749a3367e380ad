//! The list of backends as the leaseholder read it from the platform API, and the changes between two lists.

use super::Version;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One instance of a service, as the platform API lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The platform's instance id, unique within a list.
    pub id: String,
    /// The name of the service that the instance runs.
    pub service: String,
    /// The address at which the instance accepts HTTP requests.
    pub address: SocketAddr,
    /// The zone of the instance's machine.
    pub zone: String,
    /// The size of the instance as the platform states it; it weights the instance's share of the traffic.
    pub capacity: u32,
    /// Whether the instance is draining and gets no new requests.
    pub draining: bool,
    /// The remaining warm-up time of the instance, as of when the list was read from the platform.
    #[serde(rename = "cold_ms")]
    pub warmup_left_ms: u64,
}

/// The platform's list of backends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendList {
    /// The version of the list, which grows with each list that a leaseholder publishes.
    pub version: Version,
    /// How long ago the list was read from the platform.
    pub age_ms: u64,
    /// All backends, sorted by id.
    #[serde(rename = "servers")]
    pub backends: Vec<Backend>,
}

/// The difference between one list of backends and the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BackendListChange {
    /// The version of the list to which the change applies.
    pub from: Version,
    /// The version of the list that results.
    pub version: Version,
    /// How long ago the resulting list was read from the platform.
    pub age_ms: u64,
    /// Backends that were added or changed.
    #[serde(rename = "set")]
    pub upserted: Vec<Backend>,
    /// Ids of the backends that were removed.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

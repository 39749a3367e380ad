//! The platform's list of backends and the changes between two of its versions.

use super::Version;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One instance of a service, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The platform's instance id, unique in a list.
    pub id: String,
    /// The service that it runs.
    pub service: String,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// The zone of its machine.
    pub zone: String,
    /// The platform's measure of its size, by which traffic is weighted.
    pub capacity: u32,
    /// Whether it is to get no new requests.
    pub draining: bool,
    /// How much longer it is warming up, counted from when the list was taken.
    #[serde(rename = "cold_ms")]
    pub warmup_left_ms: u64,
}

/// The platform's list of backends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendList {
    /// Grows with each list that a leaseholder publishes.
    pub version: Version,
    /// How long ago it was taken from the platform.
    pub age_ms: u64,
    /// All backends, in the order of their ids.
    #[serde(rename = "servers")]
    pub backends: Vec<Backend>,
}

/// The difference between one list and the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BackendListChange {
    /// The list that it applies to.
    pub from: Version,
    /// The list that it results in.
    pub version: Version,
    /// How long ago the newer list was taken.
    pub age_ms: u64,
    /// Backends that were added or changed.
    #[serde(rename = "set")]
    pub upserted: Vec<Backend>,
    /// Ids of backends that were removed.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

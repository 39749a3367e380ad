//! Knowledge about other nodes: the gossip peers of a proxy, the selection of a source of control-plane updates, and
//! the aggregation of proxy reports into the fleet summary.
//!
//! This crate performs no I/O; callers pass the current time.

#![forbid(unsafe_code)]

mod admission_rates;
mod aggregator;
mod client_resolution;
mod peer_view;
mod source_selector;

pub use self::aggregator::{FleetAggregator, summary_for_proxies};
pub use self::client_resolution::{home_regions_by_host, proxies_for_client};
pub use self::peer_view::PeerView;
pub use self::source_selector::{PullProgress, SourceChoice, SourceSelector};

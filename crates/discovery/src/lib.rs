//! What a machine knows of the others: its peers, the sources of control-plane updates, and the aggregation of the
//! proxies' reports into the fleet summary.
//!
//! Nothing here does input or output; callers pass the current time.

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

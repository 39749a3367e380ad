//! Views of other machines and of the fleet: peers, sources of control-plane updates, and the aggregation of
//! proxies' reports. Nothing here does input or output; callers pass the current time.

mod aggregator;
mod peer_view;
mod source_selector;

pub use self::aggregator::{FleetAggregator, home_regions_by_host, proxies_for_client, summary_for_proxies};
pub use self::peer_view::PeerView;
pub use self::source_selector::{SourceChoice, SourceSelector};

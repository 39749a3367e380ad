//! Client of the platform API that lists the backends. Only the leaseholder calls it.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_protocol::messages::Backend;
use vanewharf_rpc::{RawResponse, RpcClient, RpcError};
use vanewharf_runtime::environment::Network;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of pages read, more than any deployment has. A faulty platform may return `next_token` endlessly.
const MAX_PAGES: usize = 64;
/// Lifecycle state of a backend that accepts requests; in any other state it is draining.
const LIFECYCLE_AVAILABLE: &str = "available";
/// An increase of the remaining warm-up time counts as a change only above this threshold.
const WARMUP_TOLERANCE_MS: u64 = 200;

/// One page of the platform's response.
#[derive(Deserialize)]
struct InstancePage {
    /// Instances by zone.
    instances: BTreeMap<String, Vec<Instance>>,
    next_token: Option<String>,
}

#[derive(Deserialize)]
struct Instance {
    identifier: String,
    service: String,
    address: SocketAddr,
    /// If empty, the instance is in the zone under which it is listed.
    #[serde(default)]
    zone: String,
    #[serde(default)]
    capacity: u32,
    lifecycle: String,
    /// Remaining warm-up time, such as `1500ms` or `2.5s`.
    #[serde(default)]
    warmup_left: String,
}

impl Instance {
    fn into_backend(self, listed_zone: &str) -> Backend {
        Backend {
            id: self.identifier,
            service: self.service,
            address: self.address,
            zone: if self.zone.is_empty() { listed_zone.to_owned() } else { self.zone },
            capacity: self.capacity.max(1),
            draining: self.lifecycle != LIFECYCLE_AVAILABLE,
            warmup_left_ms: parse_milliseconds(&self.warmup_left),
        }
    }
}

/// Client of the platform API.
pub struct PlatformClient {
    rpc: RpcClient,
}

impl PlatformClient {
    /// Creates a client, which connects at its first request.
    pub fn new(address: SocketAddr, network: &Rc<dyn Network>) -> PlatformClient {
        PlatformClient { rpc: RpcClient::new(address, network) }
    }

    /// Lists all backends, sorted by identifier.
    ///
    /// # Errors
    /// Returns an error if a page cannot be fetched or decoded, or if there are more than [`MAX_PAGES`] pages.
    ///
    /// # Cancel safety
    /// The pages read so far are dropped. The requests do not change the platform's state.
    pub async fn list_backends(&mut self) -> Result<Vec<Backend>, RpcError> {
        let mut backends = Vec::new();
        let mut page_token = None;
        for _ in 0..MAX_PAGES {
            let page = self.fetch_page(page_token.as_deref()).await?;
            for (zone, instances) in page.instances {
                backends.extend(instances.into_iter().map(|instance| instance.into_backend(&zone)));
            }
            page_token = page.next_token;
            if page_token.is_none() {
                backends.sort_by(|one, other| one.id.cmp(&other.id));
                return Ok(backends);
            }
        }
        Err(RpcError::Malformed)
    }

    async fn fetch_page(&mut self, page_token: Option<&str>) -> Result<InstancePage, RpcError> {
        let path = match page_token {
            Some(token) => format!("/instances?page_token={token}"),
            None => "/instances".to_owned(),
        };
        match self.rpc.send("GET", &path, "", REQUEST_TIMEOUT).await? {
            RawResponse { status: 200, body } => {
                serde_json::from_slice(&body).map_err(|_| RpcError::Malformed)
            }
            RawResponse { status, .. } => Err(RpcError::Status(status)),
        }
    }
}

/// Parses a duration into milliseconds, rounded up. Returns 0 if the text is not a duration.
fn parse_milliseconds(text: &str) -> u64 {
    let (digits, milliseconds_per_unit) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1.0),
        None => (text.trim_end_matches('s'), 1000.0),
    };
    digits.parse::<f64>().map_or(0, |number| (number * milliseconds_per_unit).ceil().max(0.0) as u64)
}

/// Returns whether a new list must be published to the proxies. A decrease of the remaining warm-up time is no reason to
/// publish, since the proxies count it down themselves; an increase is.
pub fn needs_publication(known: &[Backend], listed: &[Backend]) -> bool {
    known.len() != listed.len() || known.iter().zip(listed).any(|(known, listed)| has_changed(known, listed))
}

fn has_changed(known: &Backend, listed: &Backend) -> bool {
    let has_more_warmup = listed.warmup_left_ms > known.warmup_left_ms.saturating_add(WARMUP_TOLERANCE_MS);
    let is_same_otherwise = Backend { warmup_left_ms: known.warmup_left_ms, ..listed.clone() } == *known;
    has_more_warmup || !is_same_otherwise
}

#[cfg(test)]
mod tests;

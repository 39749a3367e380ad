//! The platform's list of backends. Only the lease holder asks for it.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_protocol::messages::Backend;
use vanewharf_rpc::{RpcClient, RpcError};

const WITHIN: Duration = Duration::from_millis(900);
/// More pages than any deployment has: the list never ends by itself where the platform errs.
const MOST_PAGES: usize = 64;

#[derive(Deserialize)]
struct Page {
    instances: BTreeMap<String, Vec<Entry>>,
    next_token: Option<String>,
}

#[derive(Deserialize)]
struct Entry {
    identifier: String,
    service: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    capacity: u32,
    lifecycle: String,
    #[serde(default)]
    warmup_left: String,
}

fn milliseconds(text: &str) -> u64 {
    let (digits, scale) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1.0),
        None => (text.trim_end_matches('s'), 1000.0),
    };
    digits.parse::<f64>().map_or(0, |number| (number * scale).ceil().max(0.0) as u64)
}

/// The whole list, in the order of the identifiers.
pub async fn list(platform: &mut RpcClient) -> Result<Vec<Backend>, RpcError> {
    let (mut servers, mut token) = (Vec::new(), None);
    for _ in 0..MOST_PAGES {
        let path = match &token {
            Some(token) => format!("/instances?page_token={token}"),
            None => "/instances".to_owned(),
        };
        let page = match platform.send("GET", &path, "", WITHIN).await? {
            (200, body) => body,
            (status, _) => return Err(RpcError::Status(status)),
        };
        let page: Page = serde_json::from_slice(&page).map_err(|_| RpcError::Malformed)?;
        for (zone, entries) in page.instances {
            servers.extend(entries.into_iter().map(|entry| Backend {
                id: entry.identifier,
                service: entry.service,
                address: entry.address,
                zone: if entry.zone.is_empty() { zone.clone() } else { entry.zone },
                capacity: entry.capacity.max(1),
                draining: entry.lifecycle != "available",
                warmup_left_ms: milliseconds(&entry.warmup_left),
            }));
        }
        token = page.next_token;
        if token.is_none() {
            servers.sort_by(|one, other| one.id.cmp(&other.id));
            return Ok(servers);
        }
    }
    Err(RpcError::Malformed)
}

/// Whether doors have to be told: what merely warms up on its way is known to them already.
pub fn differs(one: &[Backend], other: &[Backend]) -> bool {
    one.len() != other.len()
        || one.iter().zip(other).any(|(one, other)| {
            let colder = other.warmup_left_ms > one.warmup_left_ms.saturating_add(200);
            let same = Backend { warmup_left_ms: one.warmup_left_ms, ..other.clone() } == *one;
            !same || colder
        })
}

#[cfg(test)]
mod tests;

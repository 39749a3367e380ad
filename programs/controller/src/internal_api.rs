//! Internal HTTP API, used by proxies, agents and other controllers.

use crate::state::ControllerState;
use serde::de::DeserializeOwned;
use vanewharf_discovery::summary_for_proxies;
use vanewharf_http1::Request;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PeerEntry, ProxyEntry, PullRequest, PullResponse, Revision};
use vanewharf_rpc::RpcResponse;

/// Maximum number of proxies returned to an agent that knows no peers.
const MAX_PEERS: usize = 4;

/// Handles one request.
///
/// # Cancel safety
/// The future is dropped if the caller closes its connection. A pull records its reports before its first await point. A
/// queued vote request is still handled by the voter, and the vote is dropped.
pub async fn dispatch(state: &ControllerState, request: &Request) -> RpcResponse {
    handle(state, request).await.unwrap_or_else(|error| error)
}

async fn handle(state: &ControllerState, request: &Request) -> Result<RpcResponse, RpcResponse> {
    Ok(match (request.method(), request.target()) {
        ("POST", endpoints::PULL) => {
            let pull = decode_body(request)?;
            RpcResponse::json(&handle_pull(state, pull).await).compressed_for(request)
        }
        ("POST", endpoints::LEASE_TOKENS) => match state.lease_tokens(decode_body(request)?) {
            Some(leased) => RpcResponse::json(&leased),
            // An empty answer would be wrong, as the proxy treats tenants missing from the answer as refused.
            None => RpcResponse::error(503, "no configuration is known yet"),
        },
        ("POST", endpoints::VOTE) => {
            let vote_request = decode_body(request)?;
            RpcResponse::json(&state.replica.handle_vote_request(vote_request).await)
        }
        ("POST", endpoints::HOLDS_LEASE) => {
            RpcResponse::json(&state.replica.answer_lease_query(decode_body(request)?))
        }
        ("GET", endpoints::PEERS) => RpcResponse::json(&choose_peers(state)),
        ("GET", endpoints::MEMBERSHIP) => RpcResponse::json(&state.replica.membership()),
        _ => return Err(RpcResponse::error(404, "there is no such call")),
    })
}

fn decode_body<T: DeserializeOwned>(request: &Request) -> Result<T, RpcResponse> {
    serde_json::from_slice(request.body()).map_err(|error| RpcResponse::error(400, &error.to_string()))
}

/// Handles a pull by an agent or another controller: records the reports in the request, and answers with the state that is
/// newer than the caller's.
async fn handle_pull(state: &ControllerState, request: PullRequest) -> PullResponse {
    record_reports(state, &request);
    let mut response = state.publisher.respond(&request).await;
    response.leaseholder = state.replica.leaseholder();
    let is_controller = request.follower.is_some();
    if !is_controller {
        response.fleet_summary = response.fleet_summary.map(summary_for_proxies);
    }
    response
}

fn record_reports(state: &ControllerState, request: &PullRequest) {
    let now = state.publisher.now();
    let mut aggregator = state.aggregator.borrow_mut();
    if let Some(follower) = &request.follower {
        aggregator.record_controller(follower.controller.clone(), now);
        let store = state.publisher.store();
        let published = store.register.as_ref().map_or(Revision(0), |register| register.revision);
        state.followers.borrow_mut().record_pull(follower, published, now);
    }
    if let Some(report) = &request.token_leases {
        aggregator.record_lease_report(report.clone(), now);
    }
    for report in &request.reports {
        aggregator.record_report(report.clone(), now);
    }
}

/// Returns randomly chosen proxies from which this process has received reports.
fn choose_peers(state: &ControllerState) -> Vec<PeerEntry> {
    let aggregator = state.aggregator.borrow();
    let mut proxies: Vec<_> = aggregator.live_proxies(state.publisher.now()).collect();
    state.environment.shuffle(&mut proxies);
    proxies.into_iter().take(MAX_PEERS).map(peer_entry).collect()
}

fn peer_entry(proxy: &ProxyEntry) -> PeerEntry {
    PeerEntry { ip: proxy.address.ip(), region: proxy.region.clone(), last_contact_ms: 0 }
}

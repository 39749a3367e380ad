//! Serves other agents: exchanges known peers with them, and answers the pulls of agents that reach no up-to-date
//! controller.

use crate::state::AgentState;
use std::rc::Rc;
use vanewharf_http1::Request;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{PeerEntry, PullRequest};
use vanewharf_rpc::{RpcResponse, serve_deduplicated};
use vanewharf_runtime::environment::Listener;

/// Serves other agents; never returns.
pub(crate) async fn serve(listener: Box<dyn Listener>, state: Rc<AgentState>) {
    let handler = move |request| {
        // Drawn for every request, whether or not its handler uses it, so that a simulation draws the same random
        // numbers when it is repeated.
        let random_offset = state.random_offset();
        handle_request(Rc::clone(&state), random_offset, request)
    };
    serve_deduplicated(listener, handler).await;
}

async fn handle_request(state: Rc<AgentState>, random_offset: usize, request: Request) -> RpcResponse {
    match (request.method(), request.target()) {
        ("POST", endpoints::GOSSIP) => handle_shuffle(&state, random_offset, &request),
        ("POST", endpoints::PULL) => handle_pull(&state, &request).await,
        _ => RpcResponse::error(404, "there is no such call"),
    }
}

/// Merges the peers in the request into the view, and answers with a sample of the peers that were known before.
fn handle_shuffle(state: &AgentState, random_offset: usize, request: &Request) -> RpcResponse {
    let received: Vec<PeerEntry> = match serde_json::from_slice(request.body()) {
        Ok(received) => received,
        Err(error) => return RpcResponse::error(400, &error.to_string()),
    };
    let now = state.publisher.now();
    let mut peers = state.peers.borrow_mut();
    let sample = peers.sample(random_offset, now);
    peers.merge(&received, now);
    RpcResponse::json(&sample)
}

async fn handle_pull(state: &AgentState, request: &Request) -> RpcResponse {
    let pull: PullRequest = match serde_json::from_slice(request.body()) {
        Ok(pull) => pull,
        Err(error) => return RpcResponse::error(400, &error.to_string()),
    };
    state.reports.borrow_mut().record_relayed(&pull.reports, state.publisher.now());
    RpcResponse::json(&state.publisher.respond(&pull).await).compressed_for(request)
}

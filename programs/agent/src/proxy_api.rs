//! Serves the local proxy over loopback. Its pulls are answered from this agent's store and contain its reports.

use crate::state::AgentState;
use std::rc::Rc;
use vanewharf_http1::Request;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::PullRequest;
use vanewharf_rpc::{RpcResponse, serve_deduplicated};
use vanewharf_runtime::environment::Listener;

/// Serves the local proxy; never returns.
pub(crate) async fn serve(listener: Box<dyn Listener>, state: Rc<AgentState>) {
    serve_deduplicated(listener, move |request| handle_request(Rc::clone(&state), request)).await;
}

async fn handle_request(state: Rc<AgentState>, request: Request) -> RpcResponse {
    match (request.method(), request.target()) {
        ("POST", endpoints::PULL) => handle_pull(&state, &request).await,
        _ => RpcResponse::error(404, "there is no such call"),
    }
}

async fn handle_pull(state: &AgentState, request: &Request) -> RpcResponse {
    let mut pull: PullRequest = match serde_json::from_slice(request.body()) {
        Ok(pull) => pull,
        Err(error) => return RpcResponse::error(400, &error.to_string()),
    };
    if let Some(report) = pull.reports.pop() {
        state.reports.borrow_mut().record_local(report, state.publisher.now());
    }
    RpcResponse::json(&state.publisher.respond(&pull).await)
}

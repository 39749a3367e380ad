//! HTTP API for operators and clients. All paths begin with `/-/`.

use crate::operator_api;
use crate::orders::OrderQueue;
use crate::registry_api;
use crate::state::ControllerState;
use vanewharf_http1::Request;
use vanewharf_rpc::RpcResponse;

/// Handles one request.
///
/// # Cancel safety
/// The future is dropped if the caller closes its connection, see [`OrderQueue::submit`].
pub async fn dispatch(state: &ControllerState, orders: &OrderQueue, request: &Request) -> RpcResponse {
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method(), segments.as_slice()) {
        ("GET", ["-", "resolution"]) => registry_api::resolve(state, query),
        (_, ["-", call @ ..]) => operator_api::handle(state, orders, request, call).await,
        _ => RpcResponse::error(404, "calls begin with /-/"),
    }
}

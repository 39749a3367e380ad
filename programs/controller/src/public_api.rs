//! Calls from outside: the operator's, and clients that ask where to go. One dispatch on method and path segments.

use crate::operator_api::{evacuate, replace, replace_voter, said};
use crate::orders::OrderQueue;
use crate::registry_api::resolution;
use crate::state::ControllerState;
use vanewharf_http1::Request;
use vanewharf_rpc::RpcResponse;

pub async fn dispatch(state: &ControllerState, orders: &OrderQueue, request: &Request) -> RpcResponse {
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let segments: Vec<_> = path.split('/').skip(1).collect();
    let order = match (request.method(), segments.as_slice()) {
        ("GET", ["-", "resolution"]) => return resolution(state, query),
        ("GET", ["-", "Configuration.Read"]) => return said(state, request, orders.read()),
        ("POST", ["-", "Configuration.Replace"]) => replace(request.body()),
        ("POST", ["-", "Evacuation.Begin", zone]) => evacuate(state, zone, true),
        ("POST", ["-", "Evacuation.Finish", zone]) => evacuate(state, zone, false),
        ("POST", ["-", "Voters.Replace", out, into]) => replace_voter(state, request, out, into),
        (_, ["-", ..]) => Err(RpcResponse::with_status(404, "there is no such call")),
        _ => Err(RpcResponse::with_status(404, "calls begin with /-/")),
    };
    match order {
        Ok(order) => said(state, request, orders.give(order).await),
        Err(said) => said,
    }
}

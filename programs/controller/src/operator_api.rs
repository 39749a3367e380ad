//! The operator's calls.

use crate::orders::{Order, OrderOutcome};
use crate::state::ControllerState;
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_config::config::Config;
use vanewharf_consensus::OperatorChange;
use vanewharf_consensus::majority_in_sync;
use vanewharf_http1::Request;
use vanewharf_rpc::RpcResponse;

pub fn said(state: &ControllerState, request: &Request, done: OrderOutcome) -> RpcResponse {
    match done {
        OrderOutcome::Acknowledged => RpcResponse::json(&json!({})),
        // Looked at once more, as late as can be: a process that stood still since the order was carried out may
        // have lost the lease, and its word is old.
        OrderOutcome::Configuration(_) if !state.replica.holds() => elsewhere(state, request),
        OrderOutcome::Configuration(Some(config)) => {
            RpcResponse { status: 200, headers: Vec::new(), body: config.get().as_bytes().to_vec() }
        }
        OrderOutcome::Configuration(None) => RpcResponse::with_status(404, "no configuration was sent yet"),
        OrderOutcome::Conflict { held } => RpcResponse::with_status(
            409,
            &format!("another configuration was taken under its number; r{held} is held"),
        ),
        OrderOutcome::Uncertain => RpcResponse::with_status(503, "not certain to hold; send it again"),
        OrderOutcome::NotHere => elsewhere(state, request),
    }
}

/// To the door that takes orders now.
fn elsewhere(state: &ControllerState, request: &Request) -> RpcResponse {
    let control = state.settings.listen_address("control_plane").ok();
    let holder = state.replica.holder().filter(|holder| *holder != state.replica.me);
    let Some((holder, control)) = holder.zip(control) else {
        return RpcResponse::with_status(503, "nobody takes orders now; try again");
    };
    let there = SocketAddr::new(holder.ip(), control.port());
    let location = format!("http://{there}{}", request.target());
    let body = json!({ "location": location }).to_string().into_bytes();
    RpcResponse { status: 307, headers: vec![("Location", location)], body }
}

pub fn replace(body: &[u8]) -> Result<Order, RpcResponse> {
    let config = Config::parse(body).map_err(|fault| RpcResponse::with_status(400, &fault.to_string()))?;
    let text =
        String::from_utf8(body.to_vec()).map_err(|_| RpcResponse::with_status(400, "it is no text"))?;
    let raw =
        RawValue::from_string(text).map_err(|error| RpcResponse::with_status(400, &error.to_string()))?;
    Ok(Order::Change(OperatorChange::ReplaceConfig { revision: config.revision, config: raw }))
}

pub fn evacuate(state: &ControllerState, zone: &str, begin: bool) -> Result<Order, RpcResponse> {
    if !state.settings.zones.contains_key(zone) {
        return Err(RpcResponse::with_status(404, &format!("the zone {zone} is not known")));
    }
    let zone = zone.to_owned();
    let change =
        if begin { OperatorChange::BeginEvacuation { zone } } else { OperatorChange::EndEvacuation { zone } };
    Ok(Order::Change(change))
}

/// By the addresses of machines. The one that takes orders knows who keeps up; no change is begun that these could not
/// conclude.
pub fn replace_voter(
    state: &ControllerState,
    request: &Request,
    out: &str,
    into: &str,
) -> Result<Order, RpcResponse> {
    let address = |text: &str| {
        let ip = text
            .parse()
            .map_err(|_| RpcResponse::with_status(400, &format!("{text} is no address of a machine")))?;
        Ok(state.settings.controller_address(ip))
    };
    let (out, into) = (address(out)?, address(into)?);
    if !state.replica.holds() {
        return Err(elsewhere(state, request));
    }
    let (membership, candidates) = state.candidates();
    let mut voters: BTreeSet<_> = membership.voters.iter().copied().collect();
    let why = match (voters.contains(&out), voters.contains(&into)) {
        _ if !membership.outgoing.is_empty() => {
            return Err(RpcResponse::with_status(
                503,
                "another change of the voters is under way; send it again",
            ));
        }
        (false, true) => return Err(RpcResponse::json(&json!({}))),
        (false, false) => format!("{out} is no voter; they are {voters:?}"),
        (true, true) if out == into => format!("{out} cannot take its own place"),
        (true, true) => format!("{into} is a voter already; the set must not shrink"),
        (true, false) if !majority_in_sync(&[into].into(), &candidates) => {
            format!("no postmaster that keeps up is heard of at {into}")
        }
        (true, false) => {
            voters.remove(&out);
            voters.insert(into);
            if !majority_in_sync(&voters, &candidates) {
                return Err(RpcResponse::with_status(
                    503,
                    "too few of the new voters keep up now; send it again",
                ));
            }
            return Ok(Order::Reconfigure { epoch: membership.epoch, voters });
        }
    };
    Err(RpcResponse::with_status(409, &why))
}

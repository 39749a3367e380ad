//! Operator API: reads and replaces the configuration, evacuates zones and replaces voters.
//!
//! Every controller answers requests; one that does not hold the lease redirects them to the leaseholder. The texts of the
//! responses are part of the API, since clients and runbooks rely on them.

use crate::orders::{Order, OrderOutcome, OrderQueue, Reconfiguration};
use crate::roles::membership_management::membership_and_candidates;
use crate::state::ControllerState;
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;
use vanewharf_config::configuration::Config;
use vanewharf_config::document::DocumentError;
use vanewharf_consensus::{OperatorChange, VoterCandidate, majority_in_sync};
use vanewharf_http1::Request;
use vanewharf_protocol::messages::Membership;
use vanewharf_rpc::RpcResponse;

/// The reason why a request is not executed.
#[derive(Debug, Error)]
enum RequestError {
    #[error("{0}")]
    InvalidConfiguration(#[from] DocumentError),
    #[error("it is no text")]
    NotText,
    #[error("{0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error("the zone {0} is not known")]
    UnknownZone(String),
    #[error("{0} is no address of a machine")]
    InvalidAddress(String),
    #[error("{leaving} is no voter; they are {voters:?}")]
    NotAVoter { leaving: SocketAddr, voters: BTreeSet<SocketAddr> },
    #[error("{0} cannot take its own place")]
    SameVoter(SocketAddr),
    #[error("{0} is a voter already; the set must not shrink")]
    AlreadyAVoter(SocketAddr),
    #[error("no postmaster that keeps up is heard of at {0}")]
    JoiningNotInSync(SocketAddr),
    #[error("another change of the voters is under way; send it again")]
    ChangeInProgress,
    #[error("too few of the new voters keep up now; send it again")]
    TooFewVotersInSync,
    /// A voter that stays is not in sync. Removing one that is in sync would reduce the number of tolerated losses, as the
    /// removed voter has all committed state and the one that stays may not.
    #[error(
        "{out_of_sync} does not keep up: while it is a voter, no other voter that does is replaced; send it again"
    )]
    AnotherVoterOutOfSync { out_of_sync: SocketAddr },
    #[error("there is no such call")]
    UnknownCall,
    /// Answered with a redirect if the leaseholder is known, and with this text otherwise.
    #[error("nobody takes orders now; try again")]
    NotLeaseholder,
}

impl RequestError {
    fn status(&self) -> u16 {
        match self {
            RequestError::InvalidConfiguration(_)
            | RequestError::NotText
            | RequestError::InvalidJson(_)
            | RequestError::InvalidAddress(_) => 400,
            RequestError::UnknownZone(_) | RequestError::UnknownCall => 404,
            RequestError::NotAVoter { .. }
            | RequestError::SameVoter(_)
            | RequestError::AlreadyAVoter(_)
            | RequestError::JoiningNotInSync(_) => 409,
            RequestError::ChangeInProgress
            | RequestError::TooFewVotersInSync
            | RequestError::AnotherVoterOutOfSync { .. }
            | RequestError::NotLeaseholder => 503,
        }
    }
}

/// Handles one request. `call` contains the path segments below `/-/`.
///
/// # Cancel safety
/// See [`OrderQueue::submit`].
pub async fn handle(
    state: &ControllerState,
    orders: &OrderQueue,
    request: &Request,
    call: &[&str],
) -> RpcResponse {
    let outcome = match execute(state, orders, request, call).await {
        Ok(outcome) => outcome,
        Err(RequestError::NotLeaseholder) => OrderOutcome::NotLeaseholder,
        Err(error) => return RpcResponse::error(error.status(), &error.to_string()),
    };
    build_response(state, request, outcome)
}

async fn execute(
    state: &ControllerState,
    orders: &OrderQueue,
    request: &Request,
    call: &[&str],
) -> Result<OrderOutcome, RequestError> {
    let order = match (request.method(), call) {
        ("GET", ["Configuration.Read"]) => return Ok(orders.read_configuration()),
        ("POST", ["Configuration.Replace"]) => parse_configuration_order(request.body())?,
        ("POST", ["Evacuation.Begin", zone]) => {
            let zone = known_zone(state, zone)?;
            Order::Change(OperatorChange::BeginEvacuation { zone })
        }
        ("POST", ["Evacuation.Finish", zone]) => {
            let zone = known_zone(state, zone)?;
            Order::Change(OperatorChange::EndEvacuation { zone })
        }
        ("POST", ["Voters.Replace", leaving, joining]) => {
            match parse_voter_replacement(state, leaving, joining)? {
                Some(order) => order,
                None => return Ok(OrderOutcome::Acknowledged),
            }
        }
        _ => return Err(RequestError::UnknownCall),
    };
    Ok(orders.submit(order).await)
}

fn parse_configuration_order(body: &[u8]) -> Result<Order, RequestError> {
    let config = Config::parse(body)?;
    let text = String::from_utf8(body.to_vec()).map_err(|_| RequestError::NotText)?;
    let raw = RawValue::from_string(text)?;
    Ok(Order::Change(OperatorChange::ReplaceConfig { revision: config.revision, config: raw }))
}

fn known_zone(state: &ControllerState, zone: &str) -> Result<String, RequestError> {
    if !state.settings.zones.contains_key(zone) {
        return Err(RequestError::UnknownZone(zone.to_owned()));
    }
    Ok(zone.to_owned())
}

/// Creates the order that replaces a voter. The voters are identified by the IP addresses of their machines. Returns `None`
/// if the replacement has been made already.
///
/// Only the leaseholder knows which controllers are in sync. It refuses a change that the in-sync ones could not complete.
fn parse_voter_replacement(
    state: &ControllerState,
    leaving: &str,
    joining: &str,
) -> Result<Option<Order>, RequestError> {
    let leaving = controller_address(state, leaving)?;
    let joining = controller_address(state, joining)?;
    if !state.replica.holds_lease() {
        return Err(RequestError::NotLeaseholder);
    }
    let (membership, candidates) = membership_and_candidates(state);
    let voters = voters_after_replacement(&membership, &candidates, leaving, joining)?;
    let reconfiguration = voters.map(|voters| Reconfiguration::new(&membership, voters, &candidates));
    Ok(reconfiguration.map(Order::Reconfigure))
}

fn controller_address(state: &ControllerState, text: &str) -> Result<SocketAddr, RequestError> {
    let ip = text.parse().map_err(|_| RequestError::InvalidAddress(text.to_owned()))?;
    Ok(state.settings.controller_address(ip))
}

fn voters_after_replacement(
    membership: &Membership,
    candidates: &[VoterCandidate],
    leaving: SocketAddr,
    joining: SocketAddr,
) -> Result<Option<BTreeSet<SocketAddr>>, RequestError> {
    if !membership.outgoing.is_empty() {
        return Err(RequestError::ChangeInProgress);
    }
    let mut voters: BTreeSet<SocketAddr> = membership.voters.iter().copied().collect();
    match (voters.contains(&leaving), voters.contains(&joining)) {
        (false, true) => return Ok(None),
        (false, false) => return Err(RequestError::NotAVoter { leaving, voters }),
        (true, true) if leaving == joining => return Err(RequestError::SameVoter(leaving)),
        (true, true) => return Err(RequestError::AlreadyAVoter(joining)),
        (true, false) => {}
    }
    let is_in_sync = |voter: SocketAddr| majority_in_sync(&[voter].into(), candidates);
    if !is_in_sync(joining) {
        return Err(RequestError::JoiningNotInSync(joining));
    }
    voters.remove(&leaving);
    voters.insert(joining);
    if !majority_in_sync(&voters, candidates) {
        return Err(RequestError::TooFewVotersInSync);
    }
    let out_of_sync = voters.iter().copied().find(|voter| !is_in_sync(*voter));
    if let Some(out_of_sync) = out_of_sync.filter(|_| is_in_sync(leaving)) {
        return Err(RequestError::AnotherVoterOutOfSync { out_of_sync });
    }
    Ok(Some(voters))
}

fn build_response(state: &ControllerState, request: &Request, outcome: OrderOutcome) -> RpcResponse {
    match outcome {
        OrderOutcome::Acknowledged => RpcResponse::json(&json!({})),
        // The lease is checked again as late as possible. If the process was suspended after the read, it may have lost the
        // lease, and another leaseholder may have replaced the configuration.
        OrderOutcome::Configuration(_) if !state.replica.holds_lease() => redirect(state, request),
        OrderOutcome::Configuration(Some(config)) => {
            RpcResponse { status: 200, headers: Vec::new(), body: config.get().as_bytes().to_vec() }
        }
        OrderOutcome::Configuration(None) => RpcResponse::error(404, "no configuration was sent yet"),
        OrderOutcome::Conflict { newest_revision } => {
            let text =
                format!("another configuration was taken under its number; r{newest_revision} is held");
            RpcResponse::error(409, &text)
        }
        OrderOutcome::Uncertain => RpcResponse::error(503, "not certain to hold; send it again"),
        OrderOutcome::NotLeaseholder => redirect(state, request),
    }
}

/// Redirects the request to the operator API of the leaseholder.
fn redirect(state: &ControllerState, request: &Request) -> RpcResponse {
    let control_plane = state.settings.listen_address("control_plane").ok();
    let leaseholder = state.replica.leaseholder().filter(|leaseholder| *leaseholder != state.replica.address);
    let Some((leaseholder, control_plane)) = leaseholder.zip(control_plane) else {
        let error = RequestError::NotLeaseholder;
        return RpcResponse::error(error.status(), &error.to_string());
    };
    let address = SocketAddr::new(leaseholder.ip(), control_plane.port());
    let location = format!("http://{address}{}", request.target());
    let body = json!({ "location": location }).to_string().into_bytes();
    RpcResponse { status: 307, headers: vec![("Location", location)], body }
}

#[cfg(test)]
mod tests;

//! The operator's API: reads and replaces the configuration, evacuates zones and replaces voters.
//!
//! Every controller answers; one that does not hold the lease redirects to the one that does. The texts of the answers are
//! part of the API: clients and runbooks go by them.

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

/// Why a request is not executed.
#[derive(Debug, Error)]
enum Refusal {
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
    UnknownController(SocketAddr),
    #[error("another change of the voters is under way; send it again")]
    ChangeInProgress,
    #[error("too few of the new voters keep up now; send it again")]
    TooFewVotersKeepUp,
    /// The set would tolerate one loss less than before: the one that leaves has what was committed, and one that stays
    /// may not have it.
    #[error(
        "{failed} does not keep up: while it is a voter, no other voter that does is replaced; send it again"
    )]
    AnotherVoterFailed { failed: SocketAddr },
    #[error("there is no such call")]
    UnknownCall,
    /// Answered with a redirect to the leaseholder, where one is known.
    #[error("nobody takes orders now; try again")]
    NotLeaseholder,
}

impl Refusal {
    fn status(&self) -> u16 {
        match self {
            Refusal::InvalidConfiguration(_)
            | Refusal::NotText
            | Refusal::InvalidJson(_)
            | Refusal::InvalidAddress(_) => 400,
            Refusal::UnknownZone(_) | Refusal::UnknownCall => 404,
            Refusal::NotAVoter { .. }
            | Refusal::SameVoter(_)
            | Refusal::AlreadyAVoter(_)
            | Refusal::UnknownController(_) => 409,
            Refusal::ChangeInProgress
            | Refusal::TooFewVotersKeepUp
            | Refusal::AnotherVoterFailed { .. }
            | Refusal::NotLeaseholder => 503,
        }
    }
}

/// Handles one request. `call` is the path below `/-/`.
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
        Err(Refusal::NotLeaseholder) => OrderOutcome::NotLeaseholder,
        Err(refusal) => return RpcResponse::error(refusal.status(), &refusal.to_string()),
    };
    response_to(state, request, outcome)
}

async fn execute(
    state: &ControllerState,
    orders: &OrderQueue,
    request: &Request,
    call: &[&str],
) -> Result<OrderOutcome, Refusal> {
    let order = match (request.method(), call) {
        ("GET", ["Configuration.Read"]) => return Ok(orders.read_configuration()),
        ("POST", ["Configuration.Replace"]) => replace_configuration(request.body())?,
        ("POST", ["Evacuation.Begin", zone]) => {
            let zone = known_zone(state, zone)?;
            Order::Change(OperatorChange::BeginEvacuation { zone })
        }
        ("POST", ["Evacuation.Finish", zone]) => {
            let zone = known_zone(state, zone)?;
            Order::Change(OperatorChange::EndEvacuation { zone })
        }
        ("POST", ["Voters.Replace", leaving, joining]) => match replace_voter(state, leaving, joining)? {
            Some(order) => order,
            None => return Ok(OrderOutcome::Acknowledged),
        },
        _ => return Err(Refusal::UnknownCall),
    };
    Ok(orders.submit(order).await)
}

fn replace_configuration(body: &[u8]) -> Result<Order, Refusal> {
    let config = Config::parse(body)?;
    let text = String::from_utf8(body.to_vec()).map_err(|_| Refusal::NotText)?;
    let raw = RawValue::from_string(text)?;
    Ok(Order::Change(OperatorChange::ReplaceConfig { revision: config.revision, config: raw }))
}

fn known_zone(state: &ControllerState, zone: &str) -> Result<String, Refusal> {
    if !state.settings.zones.contains_key(zone) {
        return Err(Refusal::UnknownZone(zone.to_owned()));
    }
    Ok(zone.to_owned())
}

/// Both voters are given by the IP addresses of their machines. `None` where the replacement is in force already.
///
/// The leaseholder alone knows which controllers keep up. A change that these could not conclude is not begun.
fn replace_voter(state: &ControllerState, leaving: &str, joining: &str) -> Result<Option<Order>, Refusal> {
    let leaving = controller_address(state, leaving)?;
    let joining = controller_address(state, joining)?;
    if !state.replica.holds_lease() {
        return Err(Refusal::NotLeaseholder);
    }
    let (membership, candidates) = membership_and_candidates(state);
    let voters = voters_after_replacement(&membership, &candidates, leaving, joining)?;
    let reconfiguration = voters.map(|voters| Reconfiguration::new(&membership, voters, &candidates));
    Ok(reconfiguration.map(Order::Reconfigure))
}

fn controller_address(state: &ControllerState, text: &str) -> Result<SocketAddr, Refusal> {
    let ip = text.parse().map_err(|_| Refusal::InvalidAddress(text.to_owned()))?;
    Ok(state.settings.controller_address(ip))
}

fn voters_after_replacement(
    membership: &Membership,
    candidates: &[VoterCandidate],
    leaving: SocketAddr,
    joining: SocketAddr,
) -> Result<Option<BTreeSet<SocketAddr>>, Refusal> {
    if !membership.outgoing.is_empty() {
        return Err(Refusal::ChangeInProgress);
    }
    let mut voters: BTreeSet<SocketAddr> = membership.voters.iter().copied().collect();
    match (voters.contains(&leaving), voters.contains(&joining)) {
        (false, true) => return Ok(None),
        (false, false) => return Err(Refusal::NotAVoter { leaving, voters }),
        (true, true) if leaving == joining => return Err(Refusal::SameVoter(leaving)),
        (true, true) => return Err(Refusal::AlreadyAVoter(joining)),
        (true, false) => {}
    }
    let keeps_up = |voter: SocketAddr| majority_in_sync(&[voter].into(), candidates);
    if !keeps_up(joining) {
        return Err(Refusal::UnknownController(joining));
    }
    voters.remove(&leaving);
    voters.insert(joining);
    if !majority_in_sync(&voters, candidates) {
        return Err(Refusal::TooFewVotersKeepUp);
    }
    let failed = voters.iter().copied().find(|voter| !keeps_up(*voter));
    if let Some(failed) = failed.filter(|_| keeps_up(leaving)) {
        return Err(Refusal::AnotherVoterFailed { failed });
    }
    Ok(Some(voters))
}

fn response_to(state: &ControllerState, request: &Request, outcome: OrderOutcome) -> RpcResponse {
    match outcome {
        OrderOutcome::Acknowledged => RpcResponse::json(&json!({})),
        // The lease is looked at once more, as late as possible: a process that was suspended since the read may have lost
        // it, and the configuration may have been replaced elsewhere.
        OrderOutcome::Configuration(_) if !state.replica.holds_lease() => redirect(state, request),
        OrderOutcome::Configuration(Some(config)) => {
            RpcResponse { status: 200, headers: Vec::new(), body: config.get().as_bytes().to_vec() }
        }
        OrderOutcome::Configuration(None) => RpcResponse::error(404, "no configuration was sent yet"),
        OrderOutcome::Conflict { held } => {
            let text = format!("another configuration was taken under its number; r{held} is held");
            RpcResponse::error(409, &text)
        }
        OrderOutcome::Uncertain => RpcResponse::error(503, "not certain to hold; send it again"),
        OrderOutcome::NotLeaseholder => redirect(state, request),
    }
}

/// To the same call of the leaseholder.
fn redirect(state: &ControllerState, request: &Request) -> RpcResponse {
    let control_plane = state.settings.listen_address("control_plane").ok();
    let leaseholder = state.replica.leaseholder().filter(|leaseholder| *leaseholder != state.replica.address);
    let Some((leaseholder, control_plane)) = leaseholder.zip(control_plane) else {
        let refusal = Refusal::NotLeaseholder;
        return RpcResponse::error(refusal.status(), &refusal.to_string());
    };
    let address = SocketAddr::new(leaseholder.ip(), control_plane.port());
    let location = format!("http://{address}{}", request.target());
    let body = json!({ "location": location }).to_string().into_bytes();
    RpcResponse { status: 307, headers: vec![("Location", location)], body }
}

#[cfg(test)]
mod tests;

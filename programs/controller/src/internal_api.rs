//! The system's own calls.

use crate::state::ControllerState;
use vanewharf_discovery::summary_for_proxies;
use vanewharf_protocol::messages::{
    Ballot, PeerEntry, ProxyEntry, PullRequest, PullResponse, Revision, TokenCounts, VoteRequest,
};
use vanewharf_rpc::RpcResponse;

/// How many doors one that knows none is told of.
const NEIGHBOURS: usize = 4;

/// The system's own calls.
pub async fn dispatch(state: &ControllerState, request: &vanewharf_http1::Request) -> RpcResponse {
    let unread = |error: serde_json::Error| RpcResponse::with_status(400, &error.to_string());
    match (request.method(), request.target()) {
        ("POST", "/pull") => match serde_json::from_slice::<PullRequest>(request.body()) {
            Ok(pull) => RpcResponse::json(&state.pulled(pull).await).compressed_for(request),
            Err(error) => unread(error),
        },
        ("POST", "/lend") => match serde_json::from_slice::<TokenCounts>(request.body()) {
            Ok(wanted) => RpcResponse::json(&state.lend(wanted)),
            Err(error) => unread(error),
        },
        ("POST", "/vote") => match serde_json::from_slice::<VoteRequest>(request.body()) {
            Ok(request) => RpcResponse::json(&state.replica.vote(request).await),
            Err(error) => unread(error),
        },
        ("POST", "/holds") => match serde_json::from_slice::<Ballot>(request.body()) {
            Ok(ballot) => RpcResponse::json(&state.replica.holds_by(ballot)),
            Err(error) => unread(error),
        },
        ("GET", "/neighbours") => RpcResponse::json(&state.neighbours()),
        ("GET", "/membership") => RpcResponse::json(&state.replica.membership()),
        _ => RpcResponse::with_status(404, "there is no such call"),
    }
}

impl ControllerState {
    /// A few of the doors that this process hears, for one that knows no other.
    pub fn neighbours(&self) -> Vec<PeerEntry> {
        let (now, sums) = (self.feed.now(), self.sums.borrow());
        let mut heard: Vec<_> = sums.live_proxies(now).collect();
        self.premises.shuffle(&mut heard);
        let of = |door: &ProxyEntry| PeerEntry {
            ip: door.address.ip(),
            region: door.region.clone(),
            last_contact_ms: 0,
        };
        heard.into_iter().take(NEIGHBOURS).map(of).collect()
    }

    /// A pull by a sorter or by another postmaster: takes its reports and gives it what it lacks.
    pub async fn pulled(&self, pull: PullRequest) -> PullResponse {
        let now = self.feed.now();
        {
            let mut sums = self.sums.borrow_mut();
            pull.follower
                .iter()
                .for_each(|follower| sums.record_controller(follower.controller.clone(), now));
            pull.token_leases.iter().for_each(|lent| sums.record_lease_report(lent.clone(), now));
            pull.reports.iter().for_each(|report| sums.record_report(report.clone(), now));
        }
        if let Some(follower) = &pull.follower {
            let settled =
                self.feed.store().register.as_ref().map_or(Revision(0), |register| register.revision);
            self.following.borrow_mut().record_pull(follower, settled, now);
        }
        let mut mail = self.feed.respond(&pull).await;
        mail.leaseholder = self.replica.holder();
        if pull.follower.is_none() {
            mail.fleet_summary = mail.fleet_summary.map(summary_for_proxies);
        }
        mail
    }
}

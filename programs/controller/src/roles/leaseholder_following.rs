//! Follows the leaseholder: pulls its published state, and forwards the reports received by this process.
//!
//! If the leaseholder is unknown or does not respond, the peers are tried in turn. Any of them may know the leaseholder, and
//! the state they publish may be newer than the local one.

use crate::state::ControllerState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_protocol::messages::{Follower, PullRequest};
use vanewharf_protocol::version_store::AppliedUpdates;
use vanewharf_rpc::{RpcClient, RpcError};

/// How long the source may hold back the answer to a pull until it has an update.
const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// Delay before the next pull after one that failed or whose source is not the leaseholder.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the leaseholder whenever this process does not hold the lease; never returns.
pub async fn follow_leaseholder(state: Rc<ControllerState>) {
    let mut follower = LeaseholderFollower { state, clients: BTreeMap::new(), peer_attempts: 0 };
    loop {
        match follower.choose_source() {
            Some(source) => follower.pull_from(source).await,
            None => sleep(RETRY_INTERVAL).await,
        }
    }
}

struct LeaseholderFollower {
    state: Rc<ControllerState>,
    /// One client per source.
    clients: BTreeMap<SocketAddr, RpcClient>,
    /// Incremented after a pull that failed or whose source is not the leaseholder; its value modulo the number of peers is
    /// the index of the next peer to try.
    peer_attempts: usize,
}

impl LeaseholderFollower {
    /// Returns the controller to pull from, or `None` if this process holds the lease or knows no peer.
    fn choose_source(&self) -> Option<SocketAddr> {
        let replica = &self.state.replica;
        if replica.holds_lease() {
            return None;
        }
        let leaseholder = replica.leaseholder().filter(|leaseholder| *leaseholder != replica.address);
        leaseholder.or_else(|| {
            let peers = replica.peers();
            peers.get(self.peer_attempts % peers.len().max(1)).copied()
        })
    }

    async fn pull_from(&mut self, source: SocketAddr) {
        let network = &self.state.environment.network;
        let client = self.clients.entry(source).or_insert_with(|| RpcClient::new(source, network));
        let request = pull_request(&self.state);
        match self.state.publisher.pull(client, &request).await {
            Ok(updates) => self.handle_updates(source, updates).await,
            Err(error) => self.handle_error(source, &error).await,
        }
    }

    async fn handle_updates(&mut self, source: SocketAddr, updates: AppliedUpdates) {
        if updates.needs_snapshot {
            spdlog::info!(
                "received changes do not apply to the local state; requesting a snapshot",
                kv: { event = "snapshot_requested", peer: = source }
            );
        }
        if updates.register {
            self.state.replica.persist_published_register();
        }
        if updates.fleet_summary {
            self.state.apply_fleet_summary();
        }
        let source_is_leaseholder = self.state.publisher.store().leaseholder == Some(source);
        if !source_is_leaseholder {
            self.try_next_peer().await;
        }
    }

    async fn handle_error(&mut self, source: SocketAddr, error: &RpcError) {
        spdlog::debug!(
            "pull from a controller failed",
            kv: { event = "pull_failed", peer: = source, error: = error }
        );
        self.state.publisher.update(|store| {
            store.leaseholder = None;
            false
        });
        self.try_next_peer().await;
    }

    async fn try_next_peer(&mut self) {
        self.peer_attempts += 1;
        sleep(RETRY_INTERVAL).await;
    }
}

fn pull_request(state: &ControllerState) -> PullRequest {
    PullRequest {
        versions: state.publisher.store().versions_for_pull(),
        wait_ms: LONG_POLL_WAIT.as_millis() as u64,
        follower: Some(Follower {
            controller: state.entry.clone(),
            persisted: state.replica.persisted_rank(),
        }),
        token_leases: Some(state.token_lease_report()),
        reports: state.aggregator.borrow().recent_reports(state.publisher.now()),
    }
}

//! The link to the agent on this machine: pulls updates for the decisions, and reports this proxy's status with each
//! pull.

use crate::readiness::Readiness;
use crate::update::Update;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;
use vanewharf_protocol::messages::{ProxyEntry, ProxyReport, PullRequest};
use vanewharf_protocol::version_store::AppliedUpdates;
use vanewharf_rpc::RpcClient;

/// How long the agent may delay its answer until there is an update.
const LONG_POLL: Duration = Duration::from_millis(300);
/// Pause after a failed pull.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The task that pulls from the agent.
pub struct AgentLink {
    pub agent: RpcClient,
    pub entry: ProxyEntry,
    /// Drawn at each start, so that the control plane notices that this process's counters started from zero.
    pub incarnation: u64,
    pub readiness: Readiness,
    pub updates: mpsc::UnboundedSender<Update>,
}

impl AgentLink {
    /// Pulls until the program ends. Not cancel safe: an update that was pulled and not sent on would be lost.
    pub async fn run(mut self) {
        loop {
            let pull = self.pull();
            match self.readiness.publisher.pull(&mut self.agent, &pull).await {
                Ok(fresh) => self.publish(fresh),
                Err(error) => {
                    spdlog::debug!(
                        "pull from the agent failed",
                        kv: { event = "pull_failed", peer: = self.agent.address, error: = error }
                    );
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn report(&self) -> ProxyReport {
        let status = &self.readiness.status;
        ProxyReport {
            proxy: ProxyEntry { ready: self.readiness.is_ready(), ..self.entry.clone() },
            incarnation: self.incarnation,
            age_ms: 0,
            quota_divisor: self
                .readiness
                .publisher
                .store()
                .fleet_summary
                .as_ref()
                .map_or(0, |summary| summary.quota_divisor),
            admitted: status.admitted.borrow().clone(),
            quota_shares: status.quota_shares.borrow().clone(),
            hosts: status.hosts.borrow().clone(),
            attempts: status.attempts.borrow().clone(),
        }
    }

    fn pull(&self) -> PullRequest {
        PullRequest {
            versions: self.readiness.publisher.store().versions_for_pull(),
            wait_ms: LONG_POLL.as_millis() as u64,
            follower: None,
            token_leases: None,
            reports: vec![self.report()],
        }
    }

    /// Forwards what was new to the decisions. The register goes first, because backends are configured by it.
    fn publish(&self, fresh: AppliedUpdates) {
        let store = self.readiness.publisher.store();
        self.readiness.snapshot.attested_at.set(store.attested_at);
        let register = store.register.clone().filter(|_| fresh.register).map(Update::Register);
        let list = store.backend_list.clone().filter(|_| fresh.backend_list);
        let list = list.map(|list| Update::BackendList { list, taken_at: store.backend_list_taken_at });
        let summary = store.fleet_summary.clone().filter(|_| fresh.fleet_summary).map(Update::FleetSummary);
        for update in [register, list, summary].into_iter().flatten() {
            // Fails only while the program ends, when the receiver is gone.
            let _ = self.updates.send(update);
        }
    }
}

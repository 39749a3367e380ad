//! The link to the agent on this machine: pulls updates for the routing policy, and reports this proxy's status with
//! each pull.

use crate::readiness::Readiness;
use crate::update::Update;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;
use vanewharf_protocol::messages::{ProxyEntry, ProxyReport, PullRequest};
use vanewharf_protocol::version_store::AppliedUpdates;
use vanewharf_rpc::RpcClient;

/// The maximum time for which the agent delays its answer while it has no update.
const LONG_POLL_WAIT: Duration = Duration::from_millis(300);
/// The delay before the next pull after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The task that pulls from the agent.
pub struct AgentLink {
    /// The client of the local agent.
    pub agent: RpcClient,
    /// This proxy's entry in the control plane's list of proxies.
    pub entry: ProxyEntry,
    /// A random number drawn at each start. It tells the control plane that this process's counters started from zero.
    pub incarnation: u64,
    /// The readiness of this proxy, which is part of each report.
    pub readiness: Readiness,
    /// The queue of updates for the routing policy.
    pub updates: mpsc::UnboundedSender<Update>,
}

impl AgentLink {
    /// Pulls updates; never returns. Not cancel safe: an update that was pulled but not forwarded would be lost.
    pub async fn run(mut self) {
        loop {
            let request = self.pull_request();
            match self.readiness.publisher.pull(&mut self.agent, &request).await {
                Ok(applied) => self.forward_updates(applied),
                Err(error) => {
                    spdlog::debug!(
                        "pull from the agent failed",
                        kv: { event = "pull_failed", peer: = self.agent.address, error: = error }
                    );
                    sleep(RETRY_DELAY).await;
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

    fn pull_request(&self) -> PullRequest {
        PullRequest {
            versions: self.readiness.publisher.store().versions_for_pull(),
            wait_ms: LONG_POLL_WAIT.as_millis() as u64,
            follower: None,
            token_leases: None,
            reports: vec![self.report()],
        }
    }

    /// Forwards the datasets that have changed to the routing policy. The register is sent first, because it
    /// contains the configuration of the services that backends run.
    fn forward_updates(&self, applied: AppliedUpdates) {
        let store = self.readiness.publisher.store();
        self.readiness.gate_state.attested_at.set(store.attested_at);
        let register = store.register.clone().filter(|_| applied.register).map(Update::Register);
        let list = store.backend_list.clone().filter(|_| applied.backend_list);
        let list = list.map(|list| Update::BackendList { list, read_at: store.backend_list_read_at });
        let summary = store.fleet_summary.clone().filter(|_| applied.fleet_summary).map(Update::FleetSummary);
        for update in [register, list, summary].into_iter().flatten() {
            // Fails only during shutdown, when the receiver has been dropped.
            let _ = self.updates.send(update);
        }
    }
}

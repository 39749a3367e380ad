//! Pulls updates from the sources that the source selector chooses, one pull after the other, and sends reports
//! with each pull.

use crate::source_probe::SourceProber;
use crate::state::AgentState;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_discovery::{SourceChoice, SourceSelector};
use vanewharf_protocol::messages::PullRequest;
use vanewharf_rpc::RpcClient;

/// The delay before the next pull if the last one failed, its source was not up to date, or there was no source.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The maximum number of open connections to recently used sources.
const MAX_CACHED_CLIENTS: usize = 4;

/// Pulls updates continuously; never returns.
pub(crate) async fn pull_updates(state: Rc<AgentState>) {
    let mut upstream = Upstream {
        prober: SourceProber::new(Rc::clone(&state)),
        state,
        selector: SourceSelector::default(),
        clients: Vec::new(),
    };
    loop {
        if upstream.pull_once().await == NextPull::Delayed {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// When to send the next pull.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextPull {
    /// At once, because the source that answered is up to date.
    Immediate,
    /// After [`RETRY_DELAY`], because no source answered, or the one that did is not up to date.
    Delayed,
}

/// The sources that updates can be pulled from, each list in its order of preference.
pub(crate) struct Sources {
    pub(crate) controllers: Vec<SocketAddr>,
    pub(crate) peers: Vec<SocketAddr>,
}

struct Upstream {
    state: Rc<AgentState>,
    selector: SourceSelector,
    prober: SourceProber,
    /// Connections to recent sources, the last one used first.
    clients: Vec<RpcClient>,
}

impl Upstream {
    async fn pull_once(&mut self) -> NextPull {
        let state = Rc::clone(&self.state);
        let now = || state.publisher.now();
        let sources = Sources { controllers: self.controller_addresses(), peers: self.peer_addresses() };
        let Sources { controllers, peers } = &sources;
        let probed = self.prober.probed();
        let Some(choice) = self.selector.choose_next(controllers, peers, probed, now()) else {
            return NextPull::Delayed;
        };
        let SourceChoice { source, wait } = choice;
        let mut client = self.take_client(source);
        let request = self.pull_request(wait);
        let result = tokio::select! {
            biased;
            result = state.publisher.pull(&mut client, &request) => result,
            () = self.prober.probe_during_pull(&mut self.selector, &sources, source, wait) => {
                unreachable!("`probe_during_pull` never returns")
            }
        };
        match result {
            Ok(updates) => {
                self.cache_client(client);
                if updates.needs_snapshot {
                    spdlog::info!(
                        "received changes do not apply to the local version; requesting a snapshot",
                        kv: { event = "snapshot_requested", peer: = source }
                    );
                }
                // The source is judged by its own attestation, not by the store of this agent, which may have newer
                // data from another source.
                let is_up_to_date = self.selector.record_answer(source, updates.attested_at, peers, now());
                if is_up_to_date { NextPull::Immediate } else { NextPull::Delayed }
            }
            Err(error) => {
                spdlog::debug!(
                    "pull from a controller or peer failed",
                    kv: { event = "pull_failed", peer: = source, error: = error }
                );
                self.selector.record_failure(source, peers, now());
                NextPull::Delayed
            }
        }
    }

    fn controller_addresses(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        self.state.controllers().into_iter().map(|ip| settings.controller_address(ip)).collect()
    }

    /// Returns the peers' addresses. The order starts at an offset that depends on the length of the agent's
    /// name, so that agents do not all prefer the same peer.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        let offset = usize::from(u8::try_from(settings.name.len()).unwrap_or(0));
        let peers = self.state.peers.borrow().contact_order(offset);
        peers.into_iter().map(|ip| settings.agent_address(ip)).collect()
    }

    /// Returns the cached connection to a source, or a new one.
    fn take_client(&mut self, source: SocketAddr) -> RpcClient {
        match self.clients.iter().position(|client| client.address == source) {
            Some(index) => self.clients.remove(index),
            None => RpcClient::new(source, &self.state.environment.network),
        }
    }

    fn cache_client(&mut self, client: RpcClient) {
        self.clients.insert(0, client);
        self.clients.truncate(MAX_CACHED_CLIENTS);
    }

    fn pull_request(&self, wait: Duration) -> PullRequest {
        PullRequest {
            versions: self.state.publisher.store().versions_for_pull(),
            wait_ms: wait.as_millis() as u64,
            follower: None,
            token_leases: None,
            reports: self.state.reports.borrow().current(self.state.publisher.now()),
        }
    }
}

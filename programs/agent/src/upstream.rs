//! Pulls updates from one source after the other, as the source selector chooses them, and sends reports with each pull.

use crate::source_probe::SourceProber;
use crate::state::AgentState;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_discovery::{SourceChoice, SourceSelector};
use vanewharf_protocol::messages::PullRequest;
use vanewharf_rpc::RpcClient;

/// Time until the next pull where the last one was of no use, or no source is left.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Connections kept open, to the sources used last.
const MAX_CLIENTS: usize = 4;

/// Pulls updates; never returns.
pub(crate) async fn pull_updates(state: Rc<AgentState>) {
    let mut upstream = Upstream {
        prober: SourceProber::new(Rc::clone(&state)),
        state,
        selector: SourceSelector::default(),
        clients: Vec::new(),
    };
    loop {
        if upstream.pull_once().await == Usefulness::Useless {
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Whether a pull was worth following by another one at once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Usefulness {
    Useful,
    /// Nobody answered, or the source that did is not up to date.
    Useless,
}

/// What may be pulled from, nearest first.
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
    async fn pull_once(&mut self) -> Usefulness {
        let state = Rc::clone(&self.state);
        let now = || state.publisher.now();
        let sources = Sources { controllers: self.controller_addresses(), peers: self.peer_addresses() };
        let Sources { controllers, peers } = &sources;
        let probed = self.prober.probed();
        let Some(choice) = self.selector.choose_next(controllers, peers, probed, now()) else {
            return Usefulness::Useless;
        };
        let SourceChoice { source, wait } = choice;
        let mut client = self.take_client(source);
        let request = self.pull_request(wait);
        let result = tokio::select! {
            biased;
            result = state.publisher.pull(&mut client, &request) => result,
            () = self.prober.probe_during_pull(&mut self.selector, &sources, source, wait) => {
                unreachable!("probing goes on until the pull ends")
            }
        };
        match result {
            Ok(updates) => {
                self.keep_client(client);
                if updates.needs_snapshot {
                    spdlog::info!(
                        "received changes do not apply; a snapshot is requested",
                        kv: { event = "snapshot_requested", peer: = source }
                    );
                }
                // By the source's own attestation: what this agent has may be newer, from another source.
                let is_up_to_date = self.selector.record_answer(source, updates.attested_at, peers, now());
                if is_up_to_date { Usefulness::Useful } else { Usefulness::Useless }
            }
            Err(error) => {
                spdlog::debug!(
                    "pull from a controller or peer failed",
                    kv: { event = "pull_failed", peer: = source, error: = error }
                );
                self.selector.record_failure(source, peers, now());
                Usefulness::Useless
            }
        }
    }

    fn controller_addresses(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        self.state.controllers().into_iter().map(|ip| settings.controller_address(ip)).collect()
    }

    /// The peers' addresses, from an offset on that depends on the name, so that not all agents turn to the same peer.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        let offset = usize::from(u8::try_from(settings.name.len()).unwrap_or(0));
        let peers = self.state.peers.borrow().contact_order(offset);
        peers.into_iter().map(|ip| settings.agent_address(ip)).collect()
    }

    /// The kept connection to a source, or a new one.
    fn take_client(&mut self, source: SocketAddr) -> RpcClient {
        match self.clients.iter().position(|client| client.address == source) {
            Some(index) => self.clients.remove(index),
            None => RpcClient::new(source, &self.state.environment.network),
        }
    }

    fn keep_client(&mut self, client: RpcClient) {
        self.clients.insert(0, client);
        self.clients.truncate(MAX_CLIENTS);
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

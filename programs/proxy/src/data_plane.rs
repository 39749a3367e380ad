//! The routing policy of one proxy and the background tasks that update it, without client and backend sockets.
//!
//! The program runs a [`DataPlane`] behind sockets; the simulator runs one with simulated clients and backends.
//! The link to the agent and the token client are the same in both.

use crate::agent_link::AgentLink;
use crate::gate_state::GateState;
use crate::pools::{Location, ProxyPolicy, ProxyPolicyConfig};
use crate::readiness::Readiness;
use crate::status::ProxyStatus;
use crate::token_client::TokenClient;
use crate::update::Update;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf_config::settings::Settings;
use vanewharf_protocol::messages::ProxyEntry;
use vanewharf_rpc::Publisher;
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::Environment;

/// The routing policy, the state that it shares with the background tasks, and the queue of updates for it.
pub struct DataPlane {
    /// State shared with the request gate.
    pub gate_state: Rc<GateState>,
    /// The counters for the reports to the control plane.
    pub status: Rc<ProxyStatus>,
    /// The store of everything that was pulled from the local agent.
    pub publisher: Publisher,
    /// The routing policy.
    pub policy: ProxyPolicy,
    /// The queue of updates for [`DataPlane::policy`], in their order of arrival.
    pub updates: mpsc::UnboundedReceiver<Update>,
}

impl DataPlane {
    /// Creates the routing policy, and spawns the link to the agent and the token client on the current local task
    /// set. `frontend` is the address for clients that is reported to the control plane.
    ///
    /// # Panics
    ///
    /// If it is called outside of a local task set.
    pub fn start(settings: &Rc<Settings>, environment: &Environment, frontend: SocketAddr) -> DataPlane {
        // Simulations are reproducible only if the order of these random draws and spawned tasks does not change.
        let (clock, incarnation) = (environment.clock(), environment.random_incarnation());
        let (publisher, status) = (Publisher::new(clock), Rc::<ProxyStatus>::default());
        let gate_state = Rc::new(GateState::new(clock, &settings.limits_table));
        let location = Location {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zones: settings.zones.clone(),
        };
        let limits = settings.limits_table.clone();
        let config =
            ProxyPolicyConfig { location, limits, initial_start: settings.initial_start, seed: incarnation };
        let (token_requests, requested) = mpsc::unbounded_channel();
        let policy = ProxyPolicy::new(config, Rc::clone(&gate_state), Rc::clone(&status), token_requests);
        let (sender, updates) = mpsc::unbounded_channel();
        let token_client =
            TokenClient::new(publisher.clone(), Rc::clone(settings), environment, sender.clone());
        tokio::task::spawn_local(Rc::new(token_client).run(requested));
        let link = AgentLink {
            agent: RpcClient::new(settings.agent_loopback_address(), &environment.network),
            entry: proxy_entry(settings, frontend),
            incarnation,
            readiness: Readiness::new(&gate_state, &status, &publisher),
            updates: sender,
        };
        tokio::task::spawn_local(link.run());
        DataPlane { gate_state, status, publisher, policy, updates }
    }
}

/// Returns this proxy's entry in the control plane's list of proxies.
fn proxy_entry(settings: &Settings, frontend: SocketAddr) -> ProxyEntry {
    ProxyEntry {
        name: settings.name.clone(),
        address: frontend,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        ready: false,
    }
}

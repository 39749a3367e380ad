//! The decisions of one proxy and the background tasks that feed them, without the client and backend sockets.
//!
//! [`DataPlane`] owns what the decisions share with those tasks. The program puts sockets around it, the simulator its own
//! clients and backends; both run the same link to the agent and the same token client.

use crate::agent_link::AgentLink;
use crate::pools::{BackendPools, Location, PoolsConfig};
use crate::readiness::Readiness;
use crate::snapshot::Snapshot;
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

/// The decisions, what they share with the request gate and the link to the agent, and the queue of their updates.
pub struct DataPlane {
    /// What the request gate authorizes requests by.
    pub snapshot: Rc<Snapshot>,
    /// What the decisions publish for the reports to the control plane.
    pub status: Rc<ProxyStatus>,
    /// The store of what was pulled from the local agent.
    pub feed: Publisher,
    /// The decisions.
    pub pools: BackendPools,
    /// Updates for [`DataPlane::pools`], in the order in which they came.
    pub updates: mpsc::UnboundedReceiver<Update>,
}

impl DataPlane {
    /// Builds the decisions and spawns the link to the agent and the token client on the current `LocalSet`.
    ///
    /// `frontend` is the address that is reported to the control plane for clients to connect to.
    pub fn start(settings: &Rc<Settings>, environment: &Environment, frontend: SocketAddr) -> DataPlane {
        let (clock, incarnation) = (environment.clock(), environment.random_incarnation());
        let (feed, status) = (Publisher::new(clock), Rc::<ProxyStatus>::default());
        let snapshot = Rc::new(Snapshot::new(clock, &settings.limits_table));
        let location = Location {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zones: settings.zones.clone(),
        };
        let limits = settings.limits_table.clone();
        let config =
            PoolsConfig { location, limits, initial_start: settings.initial_start, seed: incarnation };
        let (token_requests, requested) = mpsc::unbounded_channel();
        let pools = BackendPools::start(config, Rc::clone(&snapshot), Rc::clone(&status), token_requests);
        let (sender, updates) = mpsc::unbounded_channel();
        let token_client =
            TokenClient::new(feed.clone(), Rc::clone(settings), environment.clone(), sender.clone());
        tokio::task::spawn_local(Rc::new(token_client).run(requested));
        let link = AgentLink {
            agent: RpcClient::new(settings.agent_loopback_address(), &environment.network),
            entry: proxy_entry(settings, frontend),
            incarnation,
            readiness: Readiness::new(&snapshot, &status, &feed),
            updates: sender,
        };
        tokio::task::spawn_local(link.run());
        DataPlane { snapshot, status, feed, pools, updates }
    }
}

/// The entry under which the control plane lists this proxy; ready only once its reports say so.
fn proxy_entry(settings: &Settings, frontend: SocketAddr) -> ProxyEntry {
    ProxyEntry {
        name: settings.name.clone(),
        address: frontend,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        ready: false,
    }
}

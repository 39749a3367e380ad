//! The data plane's program: takes requests from clients, lets them in by route, key and the tenant's bucket, sends them to
//! a backend that the decision module picks, and gives the answers back. The stages are the front door's own.

pub mod gate;
mod lend;
mod link;
pub mod news;
pub mod rounds;
pub mod tables;

use gate::{Posted, Wicket};
use lend::Lending;
pub use link::Link;
use news::{News, Told};
use rounds::{Place, Rounds};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout_at};
use vanewharf_config::settings::Settings;
use vanewharf_gateway::client_connection;
use vanewharf_gateway::clock::Clock;
use vanewharf_gateway::messages::BackendUpdate;
use vanewharf_gateway::resources::{ResourceLimits, Resources};
use vanewharf_gateway::router::Router;
use vanewharf_gateway::shared::Shared;
use vanewharf_gateway_settings::ConnectionTimeouts;
use vanewharf_policy::interface::Ticks;
use vanewharf_protocol::messages::ProxyEntry;
use vanewharf_rpc::Publisher;
use vanewharf_rpc::{RpcClient, RpcResponse, serve};
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::End;

const BACKLOG: u32 = 1024;
/// Backends close idle connections after so long, at the soonest known; a connection not up by then never comes up.
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Ticks(80_000), dial: Ticks(3_000) };
/// Of the grace that a process is given at its end, clients that still come are taken for so much.
const TAKES_ON: f64 = 0.7;
const ENDS_BY: f64 = 0.95;

/// What decides here and what it hears through, wherever requests come from: from sockets, or from the lab.
pub struct Core {
    pub posted: Rc<Posted>,
    pub told: Rc<Told>,
    pub feed: Publisher,
    pub rounds: Rounds,
    /// What comes from the control plane, for the rounds.
    pub heard: mpsc::UnboundedReceiver<News>,
}

impl Core {
    /// With the link to the sorter and the loans running.
    pub fn start(settings: &Rc<Settings>, premises: &Environment, frontend: SocketAddr) -> Core {
        let (steady, life) = (premises.clock(), premises.random_incarnation());
        let (feed, told) = (Publisher::new(steady), Rc::<Told>::default());
        let posted = Rc::new(Posted {
            tables: RefCell::default(),
            entries: RefCell::default(),
            sure: Cell::new(None),
            steady,
            revocation_global: settings.limits_table.revocation_global,
            revocation: settings.limits_table.revocation,
        });
        let place = Place {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zones: settings.zones.clone(),
        };
        let (asks, asked) = mpsc::unbounded_channel();
        let bounds = settings.limits_table.clone();
        let start = rounds::Start { place, bounds, first: settings.initial_start, seed: life };
        let rounds = Rounds::start(start, Rc::clone(&posted), Rc::clone(&told), asks);
        let (news, heard) = mpsc::unbounded_channel();
        let lending =
            Rc::new(Lending::new(feed.clone(), Rc::clone(settings), premises.clone(), news.clone()));
        tokio::task::spawn_local(lending.run(asked));
        let row = ProxyEntry {
            name: settings.name.clone(),
            address: frontend,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            ready: false,
        };
        let sorter = RpcClient::new(settings.agent_loopback_address(), &premises.network);
        let (posting, telling) = (Rc::clone(&posted), Rc::clone(&told));
        let link = Link { feed: feed.clone(), sorter, row, life, posted: posting, told: telling, news };
        tokio::task::spawn_local(link.run());
        Core { posted, told, feed, rounds, heard }
    }
}

pub async fn run(settings: Settings, premises: Environment, end: End) -> Result<(), String> {
    let settings = Rc::new(settings);
    let frontend = settings.listen_address("frontend").map_err(|fault| fault.to_string())?;
    let readiness = settings.listen_address("readiness").map_err(|fault| fault.to_string())?;
    let Core { posted, told, feed, rounds, heard } = Core::start(&settings, &premises, frontend);

    let limits = ResourceLimits::within(
        settings.file_descriptors.saturating_sub(256) as usize,
        settings.memory_mb as usize,
    );
    let resources = Rc::new(Resources::new(limits));
    let (router_messages, received) = mpsc::unbounded_channel();
    let dialect = Box::new(Wicket(Rc::clone(&posted)));
    let shared = Rc::new(Shared::new(
        Clock::start(),
        Rc::clone(&resources),
        dialect,
        CONNECTION_TIMEOUTS,
        router_messages,
    ));
    let router = Router::new(Rc::clone(&shared), rounds, BackendUpdate::Changes(Vec::new()), None, None);
    let mut routing = tokio::task::spawn_local(router.run(received, heard));

    let listening = |address: SocketAddr| {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = listening(frontend).map_err(|error| format!("cannot listen on {frontend}: {error}"))?;
    let stop = Rc::new(Notify::new());
    let accepting =
        tokio::task::spawn_local(client_connection::accept(listener, Rc::clone(&shared), Rc::clone(&stop)));
    let asked = premises
        .network
        .listen(readiness)
        .map_err(|error| format!("cannot listen on {readiness}: {error}"))?;
    let (known, said) = (Rc::clone(&posted), Rc::clone(&told));
    tokio::task::spawn_local(serve(asked, move |request| {
        let ready = Link::ready(&known, &said, &feed);
        let target = (request.method() == "GET" && request.target() == "/-/readiness").then_some(ready);
        async move {
            match target {
                Some(true) => RpcResponse::with_status(200, ""),
                Some(false) => RpcResponse::with_status(503, "not ready"),
                None => RpcResponse::with_status(404, "there is no such call"),
            }
        }
    }));

    tokio::select! {
        _ = end => {}
        ended = &mut routing => return Err(format!("route ended: {ended:?}")),
    }
    // Clients hold on to what they were told for a while; each answer from here on ends its connection.
    let by = Instant::now() + settings.limits_table.grace_period.mul_f64(ENDS_BY);
    told.ending.set(true);
    resources.begin_drain();
    sleep(settings.limits_table.grace_period.mul_f64(TAKES_ON)).await;
    stop.notify_one();
    let _ = timeout_at(by, accepting).await;
    let emptied = async {
        while resources.client_count() > 0 {
            resources.socket_closed.notified().await;
        }
    };
    let _ = timeout_at(by, emptied).await;
    sleep(Duration::from_millis(10)).await;
    Ok(())
}

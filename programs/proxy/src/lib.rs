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
use vanewharf_gateway::book::{Book, Room};
use vanewharf_gateway::clock::Clock;
use vanewharf_gateway::note::Told as Listing;
use vanewharf_gateway::open::OpenIds;
use vanewharf_gateway::route::Route;
use vanewharf_gateway::shared::Shared;
use vanewharf_gateway::take_in;
use vanewharf_gateway_settings::Lines;
use vanewharf_policy::interface::Tenths;
use vanewharf_protocol::messages::ProxyEntry;
use vanewharf_rpc::Publisher;
use vanewharf_rpc::{RpcClient, RpcResponse, serve};
use vanewharf_runtime::environment::Environment;
use vanewharf_runtime::program::End;

const BACKLOG: u32 = 1024;
/// Backends close idle connections after so long, at the soonest known; a connection not up by then never comes up.
const LINES: Lines = Lines { idle: Tenths(80_000), dial: Tenths(3_000) };
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
        let (steady, life) = (premises.steady(), premises.life());
        let (feed, told) = (Publisher::new(steady), Rc::<Told>::default());
        let posted = Rc::new(Posted {
            tables: RefCell::default(),
            entries: RefCell::default(),
            sure: Cell::new(None),
            steady,
            revocation_global: settings.bounds.revocation_global,
            revocation: settings.bounds.revocation,
        });
        let place = Place {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            zones: settings.zones.clone(),
        };
        let (asks, asked) = mpsc::unbounded_channel();
        let bounds = settings.bounds.clone();
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
        let sorter = RpcClient::to(settings.loopback(), &premises.net);
        let (posting, telling) = (Rc::clone(&posted), Rc::clone(&told));
        let link = Link { feed: feed.clone(), sorter, row, life, posted: posting, told: telling, news };
        tokio::task::spawn_local(link.run());
        Core { posted, told, feed, rounds, heard }
    }
}

pub async fn run(settings: Settings, premises: Environment, end: End) -> Result<(), String> {
    let settings = Rc::new(settings);
    let frontend = settings.listens("frontend").map_err(|fault| fault.to_string())?;
    let readiness = settings.listens("readiness").map_err(|fault| fault.to_string())?;
    let Core { posted, told, feed, rounds, heard } = Core::start(&settings, &premises, frontend);

    let room = Room::within(settings.descriptors.saturating_sub(256) as usize, settings.memory_mb as usize);
    let book = Rc::new(Book::new(room));
    let (notes, noted) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        book: Rc::clone(&book),
        gate: Box::new(Wicket(Rc::clone(&posted))),
        lines: LINES,
        notes,
        txns: Cell::new(0),
        open: OpenIds::default(),
    });
    let none = Listing { whole: false, entries: Vec::new() };
    let route = Route::new(Rc::clone(&shared), rounds, none, None, None);
    let mut routing = tokio::task::spawn_local(route.run(noted, heard));

    let listening = |address: SocketAddr| {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = listening(frontend).map_err(|error| format!("cannot listen on {frontend}: {error}"))?;
    let stop = Rc::new(Notify::new());
    let accepting = tokio::task::spawn_local(take_in::accept(listener, Rc::clone(&shared), Rc::clone(&stop)));
    let asked =
        premises.net.listen(readiness).map_err(|error| format!("cannot listen on {readiness}: {error}"))?;
    let (known, said) = (Rc::clone(&posted), Rc::clone(&told));
    tokio::task::spawn_local(serve(asked, move |request| {
        let ready = Link::ready(&known, &said, &feed);
        let target = (request.method() == "GET" && request.target() == "/-/readiness").then_some(ready);
        async move {
            match target {
                Some(true) => RpcResponse::status(200, ""),
                Some(false) => RpcResponse::status(503, "not ready"),
                None => RpcResponse::status(404, "there is no such call"),
            }
        }
    }));

    tokio::select! {
        _ = end => {}
        ended = &mut routing => return Err(format!("route ended: {ended:?}")),
    }
    // Clients hold on to what they were told for a while; each answer from here on ends its connection.
    let by = Instant::now() + settings.bounds.grace.mul_f64(ENDS_BY);
    told.ending.set(true);
    book.drain();
    sleep(settings.bounds.grace.mul_f64(TAKES_ON)).await;
    stop.notify_one();
    let _ = timeout_at(by, accepting).await;
    let emptied = async {
        while book.clients() > 0 {
            book.freed.notified().await;
        }
    };
    let _ = timeout_at(by, emptied).await;
    sleep(Duration::from_millis(10)).await;
    Ok(())
}

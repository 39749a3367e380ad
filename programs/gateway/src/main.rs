//! The front door on sockets: reads what it is told, starts the stages and ends them in order.

use clap::{Parser, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use vanewharf_gateway::clock::Clock;
use vanewharf_gateway::counters::Counter;
use vanewharf_gateway::discovery::Discovery;
use vanewharf_gateway::discovery_pacing::DiscoveryPacing;
use vanewharf_gateway::operator_config::OperatorConfig;
use vanewharf_gateway::peers::Peers;
use vanewharf_gateway::platform_config::PlatformConfig;
use vanewharf_gateway::platform_dialect::PlatformDialect;
use vanewharf_gateway::resources::{ResourceLimits, Resources};
use vanewharf_gateway::router::{PlatformPolicy, Router};
use vanewharf_gateway::shared::Shared;
use vanewharf_gateway::{client_connection, quota_counter};
use vanewharf_policy::decide::Balancer;

/// New clients keep coming for a while after the front was told that this door stops.
const KEEP_ACCEPTING: Duration = Duration::from_millis(500);
const BACKLOG: u32 = 1024;

/// One front door; the platform's file is named by ROUTER_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Call {
    /// The operator's own file; without one the door is as the platform's file alone says.
    #[arg(long, env = "VANEWHARF_OPERATOR")]
    operator: Option<PathBuf>,
    /// How the log is written to standard error.
    #[arg(long, env = "VANEWHARF_LOG_FORMAT", value_enum, default_value = "text")]
    log_format: LogFormat,
    /// Only tell whether a door would start by these files.
    #[arg(long)]
    check: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

fn main() -> ExitCode {
    let call = Call::parse();
    let level = std::env::var("VANEWHARF_LOG").ok().and_then(|level| level.parse().ok());
    let log = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        // Against a panic where nobody takes the log: it would be told on the same closed pipe.
        .log_internal_errors(false);
    match call.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    match run(call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            tracing::error!("cannot serve: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn run(call: Call) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    runtime.block_on(async { serve(call).await })
}

async fn serve(call: Call) -> Result<(), String> {
    let because = |what: &str, error: std::io::Error| format!("{what}: {error}");
    let hear = |kind| signal(kind).map_err(|error| because("no signals", error));
    // First, as a signal that nobody has asked for ends the program.
    let (mut reload, mut end) = (hear(SignalKind::hangup())?, hear(SignalKind::terminate())?);
    let mut print = hear(SignalKind::user_defined1())?;
    let commission = PlatformConfig::read()?;
    let clock = Clock::start();
    let PlatformConfig { name, listen, discovery, seed, limits, known, counter, options } = commission;
    let operator = OperatorConfig::read(call.operator.as_deref())?;
    let options = operator.complete(options)?;
    let (mut start, named) = vanewharf_gateway_settings::policy_start(&options, seed, clock.now())
        .map_err(|error| error.to_string())?;
    let timeouts =
        vanewharf_gateway_settings::connection_timeouts(&options).map_err(|error| error.to_string())?;
    let ask_within =
        vanewharf_gateway_settings::discovery_poll_interval(&options).map_err(|error| error.to_string())?;
    let bounds = vanewharf_gateway_settings::request_bounds(&options).map_err(|error| error.to_string())?;
    let intake =
        vanewharf_gateway_settings::peer_messages_per_s(&options).map_err(|error| error.to_string())?;
    if call.check {
        tracing::info!(
            name,
            peers = start.peer_messages,
            counter = start.counter_timeout.is_some(),
            "a door would start"
        );
        return Ok(());
    }
    let repeats = start.products.iter().map(|product| product.idempotency).collect();
    let resources = Rc::new(Resources::new(ResourceLimits::within(limits.sockets, limits.memory_mb)));
    let (notes, told) = mpsc::unbounded_channel();
    let place = named.locality.clone();
    let dialect = Box::new(PlatformDialect { named, bounds });
    let shared = Rc::new(Shared::new(clock, Rc::clone(&resources), dialect, timeouts, notes));

    let listening = || {
        let socket = if listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        socket.listen(BACKLOG)
    };
    let listener = listening().map_err(|error| because(&format!("cannot listen on {listen}"), error))?;

    let (agent, agents) = watch::channel(discovery);
    let recall = DiscoveryPacing::new(ask_within, seed);
    let (discovery, known) = Discovery::start(agents, Rc::clone(&shared), place, known, recall);
    // The decisions call the counter only where the settings allow it and the platform names one.
    start.counter_timeout = start.counter_timeout.filter(|_| counter.is_some());
    let calls = match (counter, start.counter_timeout) {
        (Some(address), Some(wait)) => {
            let (calls, taken) = mpsc::unbounded_channel();
            drop(tokio::task::spawn_local(quota_counter::run(address, wait, taken, Rc::clone(&shared))));
            Some(calls)
        }
        _ => None,
    };
    let peers = match operator.peers {
        Some(at) => {
            let listening = Peers::listen(at.listen, at.doors, start.gateway).await;
            let peers =
                listening.map_err(|error| because(&format!("cannot hear at {}", at.listen), error))?;
            Some(Rc::new(peers))
        }
        None => None,
    };
    if let Some(peers) = &peers {
        drop(tokio::task::spawn_local(Rc::clone(peers).hear(intake, Rc::clone(&shared))));
    }
    let decisions = PlatformPolicy { door: Balancer::new(start), repeats };
    let route = Router::new(Rc::clone(&shared), decisions, known, calls, peers);
    let mut routing = tokio::task::spawn_local(route.run(told, mpsc::unbounded_channel().1));
    let mut watching = tokio::task::spawn_local(discovery.run());
    let stop = Rc::new(Notify::new());
    let accepting =
        tokio::task::spawn_local(client_connection::accept(listener, Rc::clone(&shared), Rc::clone(&stop)));
    tracing::info!(name, %listen, "serving");
    loop {
        tokio::select! {
            _ = end.recv() => break,
            _ = reload.recv() => match PlatformConfig::read() {
                Ok(anew) => {
                    resources.count(Counter::Reloads);
                    tracing::info!(discovery = %anew.discovery, "read anew");
                    agent.send_replace(anew.discovery);
                }
                Err(reason) => {
                    resources.count(Counter::ReloadFailures);
                    tracing::warn!(reason, "what was read before stays in force");
                }
            },
            _ = print.recv() => tracing::info!("counters {resources}"),
            // A door without either would hold what it takes for ever.
            ended = &mut routing => return Err(format!("route ended: {ended:?}")),
            ended = &mut watching => return Err(format!("discovery ended: {ended:?}")),
        }
    }

    tracing::info!("ending");
    tokio::time::sleep(KEEP_ACCEPTING).await;
    stop.notify_one();
    let _ = accepting.await;
    resources.begin_drain();
    while resources.client_count() > 0 {
        resources.socket_closed.notified().await;
    }
    tracing::info!("counters {resources}");
    Ok(())
}

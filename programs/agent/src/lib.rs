//! The agent: a process that runs on the machine of each proxy and connects it to the control plane.
//!
//! It pulls updates from a controller (`upstream`), serves them to the proxy over loopback (`proxy_api`) and sends the
//! proxy's reports with its own pulls. Agents exchange the addresses of known peers (`peer_shuffle`, `peer_api`). If no
//! controller is reachable and up to date, an agent pulls from a peer, which relays its reports (`reports`).
//!
//! All tasks run on one thread, in the current local task set. They share `AgentState`; no borrow of its cells is held
//! across an await.

#![forbid(unsafe_code)]

mod error;
mod peer_api;
mod peer_shuffle;
mod proxy_api;
mod reports;
mod source_probe;
mod state;
mod upstream;

pub use self::error::AgentError;

use self::state::AgentState;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use vanewharf_config::settings::Settings;
use vanewharf_runtime::environment::{Environment, Listener};
use vanewharf_runtime::program::ShutdownSignal;

/// The fraction of the grace period during which the agent still serves the proxy, which is draining its clients. The
/// remaining time lets the process exit before it is killed.
const DRAIN_GRACE_FRACTION: f64 = 0.9;

/// Runs the agent on the current local task set until `shutdown` completes and for most of the grace period afterwards.
///
/// # Errors
///
/// If a listener cannot be opened.
pub async fn run(
    settings: Settings,
    environment: Environment,
    shutdown: ShutdownSignal,
) -> Result<(), AgentError> {
    let state = Rc::new(AgentState::new(settings, environment));
    let settings = &state.settings;

    let proxy_listener = listen(&state, settings.agent_loopback_address())?;
    spawn_local(proxy_api::serve(proxy_listener, Rc::clone(&state)));
    let peer_listener = listen(&state, settings.agent_address(settings.ip))?;
    spawn_local(peer_api::serve(peer_listener, Rc::clone(&state)));
    spawn_local(peer_shuffle::shuffle_peers(Rc::clone(&state)));
    spawn_local(upstream::pull_updates(Rc::clone(&state)));

    // The agent also shuts down if the sender was dropped.
    let _ = shutdown.await;
    sleep(settings.limits_table.grace_period.mul_f64(DRAIN_GRACE_FRACTION)).await;
    Ok(())
}

fn listen(state: &AgentState, address: SocketAddr) -> Result<Box<dyn Listener>, AgentError> {
    let listener = state.environment.network.listen(address);
    listener.map_err(|source| AgentError::Listen { address, source })
}

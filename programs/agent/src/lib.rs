//! The agent: runs alongside a proxy, on its machine, and keeps the link to the control plane for it.
//!
//! It pulls updates from a controller (`upstream`) and serves them to the proxy over loopback (`proxy_api`), whose
//! reports it sends with its own pulls. Agents exchange the peers that they know (`peer_shuffle`, `peer_api`): where no
//! controller is up to date an agent pulls through a peer, which relays its reports (`reports`).
//!
//! Everything runs on one thread, in tasks of the current local set. The tasks share `AgentState`; no borrow of its
//! cells is held across an await.

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

/// The fraction of the grace period for which the agent goes on serving the proxy, which drains its clients meanwhile.
/// The rest is for the process to exit before it is killed.
const SERVED_GRACE_FRACTION: f64 = 0.9;

/// Runs the agent on the current local set until `shutdown` comes, and for most of the grace period after that.
///
/// # Errors
///
/// Where an address cannot be listened on.
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

    // A dropped sender ends the agent as a sent message does.
    let _ = shutdown.await;
    sleep(settings.limits_table.grace_period.mul_f64(SERVED_GRACE_FRACTION)).await;
    Ok(())
}

fn listen(state: &AgentState, address: SocketAddr) -> Result<Box<dyn Listener>, AgentError> {
    let listener = state.environment.network.listen(address);
    listener.map_err(|source| AgentError::Listen { address, source })
}

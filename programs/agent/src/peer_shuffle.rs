//! Gossip: periodically exchanges a sample of the known peers with one of them, so that each agent's view of the peers
//! stays random and current.

use crate::state::AgentState;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::PeerEntry;
use vanewharf_rpc::RpcClient;

/// The minimum time between two exchanges.
const SHUFFLE_INTERVAL: Duration = Duration::from_millis(1800);
/// The upper bound of the random time added to [`SHUFFLE_INTERVAL`], which keeps agents from synchronizing.
const SHUFFLE_JITTER_MS: u64 = 400;

/// The timeout of a call to a peer or controller. It covers a connection setup and a round trip between regions.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Exchanges peers with one of them periodically, or requests the first peers from a controller; never returns.
pub(crate) async fn shuffle_peers(state: Rc<AgentState>) {
    loop {
        let random_offset = state.random_offset();
        sleep(SHUFFLE_INTERVAL + Duration::from_millis(random_offset as u64 % SHUFFLE_JITTER_MS)).await;
        let peer = state.peers.borrow().contact_order(random_offset).first().copied();
        match peer {
            Some(peer) => shuffle_with(&state, peer, random_offset).await,
            None => bootstrap_peers(&state).await,
        }
    }
}

/// Exchanges peers with `peer`, which is removed from the view if it does not answer.
async fn shuffle_with(state: &AgentState, peer: IpAddr, random_offset: usize) {
    let sample = state.peers.borrow().sample(random_offset, state.publisher.now());
    let mut client = RpcClient::new(state.settings.agent_address(peer), &state.environment.network);
    match client.call::<_, Vec<PeerEntry>>(endpoints::GOSSIP, &sample, CALL_TIMEOUT).await {
        Ok(received) => state.peers.borrow_mut().merge(&received, state.publisher.now()),
        Err(_) => state.peers.borrow_mut().remove(peer),
    }
}

/// Requests peers from one controller after the other, until one answers.
async fn bootstrap_peers(state: &AgentState) {
    for controller in state.controllers() {
        let address = state.settings.controller_address(controller);
        let mut client = RpcClient::new(address, &state.environment.network);
        if let Ok(received) = client.get::<Vec<PeerEntry>>(endpoints::PEERS, CALL_TIMEOUT).await {
            state.peers.borrow_mut().merge(&received, state.publisher.now());
            return;
        }
    }
}

//! Manages the set of voters: extends it to the size needed for the configured number of tolerated losses, and replaces
//! failed voters with in-sync controllers, one change at a time.

use crate::orders::{Order, OrderOutcome, OrderQueue, Reconfiguration};
use crate::state::ControllerState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_consensus::{LocalMember, VoterCandidate, plan_next_voters, voter_count_for};
use vanewharf_protocol::messages::Membership;

/// Interval at which the set of voters is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed change is retried, since operator orders are blocked while a change is attempted.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Manages the membership while this process holds the lease; never returns.
pub async fn manage_membership(state: Rc<ControllerState>, orders: OrderQueue) {
    let mut held_lease = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let holds_lease = state.replica.holds_lease();
        let now = state.publisher.now();
        match (held_lease, holds_lease) {
            (false, true) => state.followers.borrow_mut().lease_acquired(now),
            (true, false) => state.followers.borrow_mut().lease_lost(now),
            (false, false) | (true, true) => {}
        }
        held_lease = holds_lease;
        if holds_lease && let Some(reconfiguration) = choose_reconfiguration(&state) {
            submit_reconfiguration(&orders, reconfiguration).await;
        }
    }
}

/// Returns the next change of the voter set, if one is needed.
fn choose_reconfiguration(state: &ControllerState) -> Option<Reconfiguration> {
    let (membership, candidates) = membership_and_candidates(state);
    let change_is_in_progress = !membership.outgoing.is_empty();
    let voters: BTreeSet<SocketAddr> = if change_is_in_progress {
        // An earlier leaseholder left a change unfinished, which must be completed first.
        membership.voters.iter().copied().collect()
    } else {
        plan_next_voters(&membership, &candidates, voter_count_for(state.settings.tolerated_machine_losses))?
    };
    Some(Reconfiguration::new(&membership, voters, &candidates))
}

async fn submit_reconfiguration(orders: &OrderQueue, reconfiguration: Reconfiguration) {
    spdlog::info!(
        "membership change begins",
        kv: { event = "reconfiguration_begin", epoch = reconfiguration.epoch, voters:? = reconfiguration.voters }
    );
    if let OrderOutcome::Uncertain = orders.submit(Order::Reconfigure(reconfiguration)).await {
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the membership, and the controllers that are or may become voters, as seen by the leaseholder.
pub fn membership_and_candidates(state: &ControllerState) -> (Membership, Vec<VoterCandidate>) {
    let membership = state.replica.membership();
    let local_member = LocalMember { address: state.replica.address, zone: &state.settings.zone };
    let address_of = |ip| state.settings.controller_address(ip);
    let now = state.publisher.now();
    let candidates = state.followers.borrow().candidates(&membership.voters, local_member, address_of, now);
    (membership, candidates)
}

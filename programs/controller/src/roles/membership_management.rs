//! Manages the set of voters.

use crate::orders::{Order, OrderOutcome, OrderQueue};
use crate::state::ControllerState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_consensus::{LocalMember, VoterCandidate, plan_next_voters, voter_count_for};
use vanewharf_protocol::messages::Membership;

/// How often it is seen whether a voter is missing.
const TENDED: Duration = Duration::from_millis(250);
/// A change that could not be kept is not tried again before.
const HELD_OFF: Duration = Duration::from_secs(3);

impl ControllerState {
    /// Who votes, and who may, as the holder sees it.
    pub fn candidates(&self) -> (Membership, Vec<VoterCandidate>) {
        let membership = self.replica.membership();
        let local = LocalMember { address: self.replica.me, zone: &self.settings.zone };
        let (address, now) = (|ip| self.settings.controller_address(ip), self.feed.now());
        let known = self.following.borrow().candidates(&membership.voters, local, address, now);
        (membership, known)
    }

    /// The set of voters, as it should be: enlarged to what the losses to be borne want, a lost voter replaced by a machine
    /// that keeps up, one change after the other.
    pub async fn tend_membership(self: Rc<Self>, orders: OrderQueue) {
        let mut held = false;
        loop {
            sleep(TENDED).await;
            let (holds, now) = (self.replica.holds(), self.feed.now());
            match (std::mem::replace(&mut held, holds), holds) {
                (false, true) => self.following.borrow_mut().lease_acquired(now),
                (true, false) => self.following.borrow_mut().lease_lost(now),
                _ => {}
            }
            if !holds {
                continue;
            }
            let (membership, known) = self.candidates();
            let voters = match membership.outgoing.is_empty() {
                // What another holder began.
                false => Some(membership.voters.iter().copied().collect()),
                true => plan_next_voters(
                    &membership,
                    &known,
                    voter_count_for(self.settings.tolerated_machine_losses),
                ),
            };
            if let Some(voters) = voters {
                spdlog::info!("the voters are to be {:?} after epoch {}", voters, membership.epoch);
                let done = orders.give(Order::Reconfigure { epoch: membership.epoch, voters }).await;
                // Operators' orders wait while a change of the set is tried.
                if let OrderOutcome::Uncertain = done {
                    sleep(HELD_OFF).await;
                }
            }
        }
    }
}

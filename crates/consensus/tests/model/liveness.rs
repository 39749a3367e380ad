//! Checks liveness: from any state, some member has to win the lease once all members run and all messages are
//! delivered.

use crate::cluster::{Action, Budget, ClusterModel, ClusterState};

/// The number of elections and waits for the next tick after which liveness counts as violated.
const MAX_ATTEMPTS: usize = 40;
/// A bound above the number of messages in flight in any state.
const MAX_DELIVERIES: usize = 400;
/// More releases than [`MAX_ATTEMPTS`] elections can need.
const UNLIMITED_RELEASES: u8 = 200;

impl ClusterModel {
    /// Delivers messages until none can be delivered. This is deterministic: in each step, the first message in order
    /// that can be delivered is delivered.
    pub fn deliver_all(&self, mut state: ClusterState) -> ClusterState {
        for _ in 0..MAX_DELIVERIES {
            let mut messages = state.messages.iter();
            let delivered = messages.find_map(|message| self.step(&state, Action::Deliver(message.clone())));
            match delivered {
                Some(next) => state = next,
                None => return state,
            }
        }
        state
    }

    /// Returns whether a member with all acknowledged values wins the lease within [`MAX_ATTEMPTS`].
    pub fn elects_leaseholder(&self, state: &ClusterState) -> bool {
        let mut state = state.clone();
        state.remaining = Budget { releases: UNLIMITED_RELEASES, ..Budget::none() };
        for _ in 0..MAX_ATTEMPTS {
            state = self.deliver_all(self.restart_all(state));
            if self.any_serves_all_values(&state) {
                return true;
            }
            let candidate = (0..self.member_count).find(|index| self.may_campaign(&state, *index));
            let Some(candidate) = candidate else {
                state = self.step(&state, Action::Tick).expect("a tick advances the time");
                continue;
            };
            state = self.step(&state, Action::Campaign(candidate)).expect("the candidate may campaign");
            state = self.deliver_all(state);
            // A candidate that lost tries again after a tick, as leases granted to others expire in the meantime.
            if !self.any_serves_all_values(&state) {
                state = self.step(&state, Action::Tick).expect("a tick advances the time");
            }
        }
        false
    }

    fn restart_all(&self, mut state: ClusterState) -> ClusterState {
        while let Some(down) = state.members.iter().position(|member| !member.running) {
            state = self.step(&state, Action::Restart(down)).expect("the member is down");
        }
        state
    }

    fn any_serves_all_values(&self, state: &ClusterState) -> bool {
        (0..self.member_count).any(|index| self.serves_all_values(state, index))
    }
}

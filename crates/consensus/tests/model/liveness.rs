//! From any state on, with all members up and every message delivered: whether somebody comes to hold the lease.

use crate::cluster::{Action, Budget, ClusterModel, ClusterState};

/// So many elections and ticks have to do.
const MAX_TRIES: usize = 40;
/// More messages than any state has on its way.
const MAX_DELIVERIES: usize = 400;
const UNLIMITED_RELEASES: u8 = 200;

impl ClusterModel {
    /// Deterministic: the oldest message first, and what cannot be delivered is passed over.
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

    pub fn comes_to_a_leaseholder(&self, state: &ClusterState) -> bool {
        let mut state = state.clone();
        state.remaining = Budget { releases: UNLIMITED_RELEASES, ..Budget::none() };
        for _ in 0..MAX_TRIES {
            state = self.deliver_all(self.restart_all(state));
            if self.any_serves_all_values(&state) {
                return true;
            }
            let candidate = (0..self.member_count).find(|index| self.may_campaign(&state, *index));
            let Some(candidate) = candidate else {
                state = self.step(&state, Action::Tick).expect("time goes on");
                continue;
            };
            state = self.step(&state, Action::Campaign(candidate)).expect("it may campaign");
            state = self.deliver_all(state);
            // Whoever lost tries again a little later: the leases of others end meanwhile.
            if !self.any_serves_all_values(&state) {
                state = self.step(&state, Action::Tick).expect("time goes on");
            }
        }
        false
    }

    fn restart_all(&self, mut state: ClusterState) -> ClusterState {
        while let Some(down) = state.members.iter().position(|member| !member.running) {
            state = self.step(&state, Action::Restart(down)).expect("it is down");
        }
        state
    }

    fn any_serves_all_values(&self, state: &ClusterState) -> bool {
        (0..self.member_count).any(|index| self.serves_all_values(state, index))
    }
}

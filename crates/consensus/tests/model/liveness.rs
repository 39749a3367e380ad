//! From any state on, with all members up and every message delivered: whether a holder comes about.

use crate::machine::*;
use vanewharf_protocol::messages::Register;

/// So many tries have to do.
const TRIES: usize = 40;

impl Lease {
    /// Deterministic: the oldest message first, and what cannot be heard is passed over.
    pub fn deliver_all(&self, mut state: State) -> State {
        for _ in 0..400 {
            let delivered = state.net.iter().find_map(|one| self.step(&state, Action::Deliver(one.clone())));
            match delivered {
                Some(next) => state = next,
                None => return state,
            }
        }
        state
    }

    pub fn goes_on(&self, state: &State) -> bool {
        let mut state = state.clone();
        state.left = Budget { releases: 200, ..Budget::none() };
        for _ in 0..TRIES {
            while let Some(down) = state.members.iter().position(|member| !member.up) {
                state = self.step(&state, Action::Restart(down)).expect("it is down");
            }
            state = self.deliver_all(state);
            let serving = |state: &State, place: usize| {
                let (member, values) = (&state.members[place], state.values());
                let has = |store: &Register| values.is_subset(&store.evacuated);
                let serves = member.term.is_some_and(|term| term.may_serve(self.now(state, place)));
                serves && (values.is_empty() || member.store.as_ref().is_some_and(has))
            };
            if (0..self.members).any(|place| serving(&state, place)) {
                return true;
            }
            let tries = |place: &usize| {
                let (member, now) = (&state.members[*place], self.now(&state, *place));
                let lapsed = member.term.is_none_or(|term| !term.is_valid(now));
                lapsed && member.membership().voters.contains(&addr(*place)) && member.voter.may_campaign(now)
            };
            let next = (0..self.members).find(|place| tries(place)).map_or(Action::Tick, Action::Try);
            let tried = matches!(next, Action::Try(_));
            state = self.step(&state, next).expect("time goes on");
            if tried {
                state = self.deliver_all(state);
                // Whoever lost tries again a little later: others' leases end meanwhile.
                if !(0..self.members).any(|place| serving(&state, place)) {
                    state = self.step(&state, Action::Tick).expect("time goes on");
                }
            }
        }
        false
    }
}

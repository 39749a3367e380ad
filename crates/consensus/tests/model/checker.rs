//! The cluster as a stateright model: its initial state, its transitions and its properties.

use crate::cluster::{Action, Budget, ClusterModel, ClusterState, Message};
use crate::invariants::{
    FRESH_READS, LEASEHOLDER_ELECTED, OLD_SET_KNOWS_CHANGE, ONE_LEASEHOLDER, ONE_REGISTER_PER_REVISION,
    VALUES_FOUND, VALUES_RETAINED,
};
use crate::member::Member;
use stateright::{Model, Property};
use std::collections::BTreeMap;
use vanewharf_consensus::{StartKind, Voter};
use vanewharf_protocol::messages::Ballot;

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterState> {
        let mut state = ClusterState {
            tick: 0,
            remaining: Budget::none(),
            members: (0..self.member_count).map(|index| self.initial_member(index)).collect(),
            messages: Vec::new(),
            elections_won: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            violation: None,
        };
        if self.lease_held {
            state = self.elect_first_member(state);
        }
        if self.change_started {
            state = self.begin_initial_change(state);
        }
        if self.lease_held {
            let lease = state.members[0].lease;
            assert!(lease.is_some_and(|lease| lease.register_committed), "member 0 holds the lease");
        }
        state.remaining = self.budget;
        state.tick = self.ticks_since_grant;
        vec![state]
    }

    fn actions(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        self.possible_actions(state, actions);
    }

    fn next_state(&self, state: &ClusterState, action: Action) -> Option<ClusterState> {
        self.step(state, action)
    }

    fn properties(&self) -> Vec<Property<ClusterModel>> {
        vec![
            Property::always(ONE_LEASEHOLDER, |model: &ClusterModel, state| model.has_one_leaseholder(state)),
            Property::always(VALUES_RETAINED, |model: &ClusterModel, state| {
                model.retains_acknowledged_values(state)
            }),
            Property::always(VALUES_FOUND, |_, state: &ClusterState| state.violation != Some(VALUES_FOUND)),
            Property::always(ONE_REGISTER_PER_REVISION, |_, state: &ClusterState| {
                state.violation != Some(ONE_REGISTER_PER_REVISION)
            }),
            Property::always(OLD_SET_KNOWS_CHANGE, |model: &ClusterModel, state| {
                model.old_set_knows_of_change(state)
            }),
            Property::always(FRESH_READS, |model: &ClusterModel, state| model.reads_are_fresh(state)),
            Property::always(LEASEHOLDER_ELECTED, |model: &ClusterModel, state| {
                !model.check_liveness || model.elects_leaseholder(state)
            }),
        ]
    }
}

impl ClusterModel {
    fn initial_member(&self, index: usize) -> Member {
        let start = ClusterModel::start_time();
        let initial_voters = self.initial_voter_addresses();
        let record = Voter::start(None, None, &initial_voters, StartKind::Initial, start).record();
        // Members that are not initial voters have joined later and have recovered before the start.
        let kind = if index < self.initial_voters { StartKind::Initial } else { StartKind::Restart };
        let mut voter = Voter::start(Some(&record), None, &self.seeds(), kind, start);
        voter.end_grant_suspension(Ballot(0), start);
        Member::new(voter, record)
    }

    /// Has member 0 win the lease by a bare majority: itself and the initial voters with the highest indices.
    fn elect_first_member(&self, state: ClusterState) -> ClusterState {
        let mut state = self.step(&state, Action::Campaign(0)).expect("no member holds the lease");
        let requests = state.messages.clone();
        let grants = |request: &&Message| request.voter == 0 || request.voter > (self.initial_voters - 1) / 2;
        for request in requests.iter().filter(grants) {
            state = self.step(&state, Action::Deliver(request.clone())).expect("the voter grants the lease");
        }
        state = self.deliver_responses(state);
        state.messages.clear();
        state
    }

    /// Has member 0 begin the change to the target set. Bare majorities of both sets accept it.
    fn begin_initial_change(&self, mut state: ClusterState) -> ClusterState {
        state.remaining = Budget { changes_started: 1, ..Budget::none() };
        state = self.step(&state, Action::BeginChange(0)).expect("member 0 holds the lease");
        while state.members[0].committed_membership().outgoing.is_empty() {
            let first = state.messages[0].clone();
            state =
                self.step(&state, Action::Deliver(first)).expect("the voter accepts the joint membership");
            state = self.deliver_responses(state);
        }
        state.messages.clear();
        state
    }

    fn deliver_responses(&self, mut state: ClusterState) -> ClusterState {
        while let Some(response) = state.messages.iter().find(|message| message.response.is_some()).cloned() {
            state = self.step(&state, Action::Deliver(response)).expect("the response is counted");
        }
        state
    }
}

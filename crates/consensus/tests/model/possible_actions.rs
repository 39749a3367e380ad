//! The actions that are possible in a state.

use crate::cluster::{Action, ClusterModel, ClusterState, Mutation, address};
use crate::member::Member;
use vanewharf_protocol::messages::VoteRequest;

impl ClusterModel {
    /// Adds all actions that are possible in a state to `actions`.
    pub fn possible_actions(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        if state.remaining.ticks > 0 {
            actions.push(Action::Tick);
        }
        for (index, member) in state.members.iter().enumerate() {
            if member.running {
                self.add_member_faults(state, index, actions);
                self.add_member_actions(state, index, actions);
                self.add_leaseholder_actions(state, index, actions);
            } else {
                actions.push(Action::Restart(index));
            }
        }
        self.add_deliveries(state, actions);
    }

    /// Adds the crash of a running member and the loss of its disk.
    fn add_member_faults(&self, state: &ClusterState, index: usize, actions: &mut Vec<Action>) {
        let lost = state.members.iter().filter(|member| !member.can_vote()).count();
        let member = &state.members[index];
        // At most `tolerated_losses` members are lost at the same time; one of these may be lost again.
        if lost < self.tolerated_losses || lost == self.tolerated_losses && !member.can_vote() {
            if state.remaining.crashes > 0 {
                actions.push(Action::Crash(index));
            }
            if state.remaining.disk_losses > 0 {
                actions.push(Action::LoseDisk(index));
            }
        }
    }

    /// Adds the actions of a running member that do not depend on whether it holds the lease.
    fn add_member_actions(&self, state: &ClusterState, index: usize, actions: &mut Vec<Action>) {
        let (remaining, member, now) = (&state.remaining, &state.members[index], self.now(state, index));
        let is_voter = member.membership().voters.contains(&address(index));
        // A leaseholder may campaign for its own lease again, under a higher ballot.
        let may_campaign = member.voter.may_campaign(now) || member.holds_lease(now);
        if remaining.elections > 0 && is_voter && may_campaign {
            actions.push(Action::Campaign(index));
        }
        let has_promised = member.record_on_disk.as_ref().is_some_and(|record| record.promised_to.is_some());
        let waits_after_restart = member.voter.leaseholder(now).is_none() && !member.voter.may_campaign(now);
        if remaining.lease_queries > 0 && has_promised && waits_after_restart {
            actions.push(Action::QueryLease(index));
        }
        if remaining.timeouts > 0 && (!member.accepts.is_empty() || member.election.is_some()) {
            actions.push(Action::TimeOut(index));
        }
        if remaining.adoptions > 0 && !member.voter.is_amnesic() {
            let publishes = |(_, other): &(usize, &Member)| other.running && other.published.is_some();
            let publishers = state.members.iter().enumerate().filter(publishes).map(|(other, _)| other);
            let others = publishers.filter(|other| *other != index);
            actions.extend(others.map(|other| Action::Adopt(index, other)));
        }
    }

    /// Adds the actions of a member that holds the lease.
    fn add_leaseholder_actions(&self, state: &ClusterState, index: usize, actions: &mut Vec<Action>) {
        let (remaining, member) = (&state.remaining, &state.members[index]);
        if member.lease.is_none() {
            return;
        }
        if remaining.renewals > 0 {
            actions.push(Action::Renew(index));
        }
        if remaining.resignations > 0 {
            actions.push(Action::Resign(index));
        }
        if !member.may_serve(self.now(state, index)) {
            return;
        }
        if remaining.proposals > 0 && member.may_propose() {
            actions.push(Action::Propose(index));
        }
        if !member.accepts.is_empty() {
            return;
        }
        if remaining.changes_started > 0 && self.may_begin_change(member) {
            actions.push(Action::BeginChange(index));
        }
        if remaining.changes_finished > 0 && self.may_finish_change(member) {
            actions.push(Action::FinishChange(index));
        }
    }

    fn may_begin_change(&self, member: &Member) -> bool {
        let committed = member.committed_membership();
        let target = self.next_voters(&committed);
        committed.outgoing.is_empty() && committed.voters != target && !target.is_empty()
    }

    fn may_finish_change(&self, member: &Member) -> bool {
        if self.has_mutation(Mutation::UncommittedChangeFinished) {
            return !member.membership().outgoing.is_empty();
        }
        let is_renewed =
            !member.needs_renewal_by_both_sets || self.has_mutation(Mutation::NoRenewalByBothSets);
        !member.committed_membership().outgoing.is_empty() && is_renewed
    }

    /// Adds the deliveries of all messages in flight to running members, with the faults that may occur.
    fn add_deliveries(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        for message in &state.messages {
            let is_request = message.response.is_none();
            let receiver = if is_request { message.voter } else { message.requester };
            if !state.members[receiver].running {
                continue;
            }
            actions.push(Action::Deliver(message.clone()));
            if self.prompt_votes && !matches!(message.request, VoteRequest::Release { .. }) {
                actions.push(Action::DeliverWithoutResponse(message.clone()));
            }
            if state.remaining.duplicates > 0 && is_request {
                actions.push(Action::DeliverTwice(message.clone()));
            }
            if state.remaining.failed_writes > 0 && is_request {
                actions.push(Action::DeliverWithFailedWrite(message.clone()));
            }
        }
    }
}

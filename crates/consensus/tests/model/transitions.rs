//! The state transition of each action.

use crate::cluster::{Action, ClusterModel, ClusterState, Message};
use crate::member::{Member, ProposalPurpose};
use vanewharf_protocol::messages::{Ballot, VoteRequest};

impl ClusterModel {
    /// Returns the state after an action, or `None` if the action changes nothing.
    pub fn step(&self, state: &ClusterState, action: Action) -> Option<ClusterState> {
        let mut next = state.clone();
        match action {
            Action::Tick => {
                next.remaining.ticks = next.remaining.ticks.saturating_sub(1);
                next.tick += 1;
            }
            Action::Campaign(index) => self.campaign(&mut next, index),
            Action::Renew(index) => self.renew(&mut next, index),
            Action::Propose(index) => self.propose_value(&mut next, index),
            Action::BeginChange(index) => {
                next.remaining.changes_started -= 1;
                self.reconfigure(&mut next, index, ProposalPurpose::BeginChange);
            }
            Action::FinishChange(index) => {
                next.remaining.changes_finished -= 1;
                self.reconfigure(&mut next, index, ProposalPurpose::FinishChange);
            }
            Action::Resign(index) => self.resign(&mut next, index),
            Action::Crash(index) => {
                next.remaining.crashes -= 1;
                self.crash(&mut next, index);
            }
            Action::LoseDisk(index) => {
                next.remaining.disk_losses -= 1;
                self.crash(&mut next, index);
                next.members[index].record_on_disk = None;
                next.members[index].register_on_disk = None;
            }
            Action::Restart(index) => self.restart(&mut next, index),
            Action::QueryLease(index) => {
                next.remaining.lease_queries -= 1;
                self.query_previous_leaseholder(&mut next, index);
            }
            Action::TimeOut(index) => self.time_out(&mut next, index),
            Action::Adopt(index, publisher) => self.adopt(&mut next, index, publisher)?,
            Action::Deliver(message) => {
                next.remove_message(&message)?;
                self.deliver(&mut next, message, false);
            }
            Action::DeliverTwice(message) => {
                next.remaining.duplicates -= 1;
                self.deliver(&mut next, message, false);
            }
            Action::DeliverWithoutResponse(message) => {
                next.remove_message(&message)?;
                self.voter_receives(&mut next, &message, false);
            }
            Action::DeliverWithFailedWrite(message) => {
                next.remove_message(&message)?;
                next.remaining.failed_writes -= 1;
                self.deliver(&mut next, message, true);
            }
        }
        next.drop_messages_without_effect();
        next.normalize_messages();
        (next != *state).then_some(next)
    }

    /// Has a member take over the committed register that another one publishes.
    fn adopt(&self, state: &mut ClusterState, index: usize, publisher: usize) -> Option<()> {
        state.remaining.adoptions -= 1;
        let register = state.members[publisher].published.clone()?;
        let member = &mut state.members[index];
        if let Some(write) = member.voter.adopt_committed_register(&register) {
            member.register_on_disk = Some(register.clone());
            member.voter.mark_persisted(write);
        }
        // As in the publisher's `VersionStore`, only a newer revision replaces the published register.
        if member.published.as_ref().is_none_or(|own| register.revision > own.revision) {
            member.published = Some(register);
        }
        Some(())
    }

    fn time_out(&self, state: &mut ClusterState, index: usize) {
        state.remaining.timeouts -= 1;
        let accepts = &mut state.members[index].accepts;
        if !accepts.is_empty() {
            accepts.remove(0);
        }
        if let Some(pending) = state.members[index].election.take() {
            self.release_lost_election(state, index, &pending);
        }
    }
}

impl ClusterState {
    fn remove_message(&mut self, message: &Message) -> Option<()> {
        let position = self.messages.iter().position(|candidate| candidate == message)?;
        self.messages.remove(position);
        Some(())
    }

    /// Drops votes of rounds that are over, which are not counted, and requests below a promise that cannot be lost,
    /// which have no effect. States that differ only in such messages are equivalent.
    fn drop_messages_without_effect(&mut self) {
        let (members, disks_may_be_lost) = (&self.members, self.remaining.disk_losses > 0);
        self.messages.retain(|message| {
            is_awaited(&members[message.requester], message)
                || message.response.is_none()
                    && may_have_effect(&members[message.voter], &message.request, disks_may_be_lost)
        });
    }
}

fn is_awaited(requester: &Member, message: &Message) -> bool {
    requester.running && requester.counts_responses_of(message.round)
}

fn may_have_effect(voter: &Member, request: &VoteRequest, disks_may_be_lost: bool) -> bool {
    let promised = voter.record_on_disk.as_ref().map_or(Ballot(0), |record| record.ballot);
    let is_below_promise = |ballot: Ballot| !disks_may_be_lost && ballot < promised;
    match request {
        VoteRequest::Lease { ballot, .. } => {
            !is_below_promise(*ballot) && (disks_may_be_lost || *ballot != promised)
        }
        VoteRequest::Renew { ballot, .. } => !is_below_promise(*ballot),
        VoteRequest::Accept { register } => !is_below_promise(register.ballot),
        VoteRequest::PreVote { .. } | VoteRequest::Release { .. } => true,
        VoteRequest::Recover { .. } => false,
    }
}

//! The effects of delivered messages: those of requests on voters, and those of responses on requesters.

use crate::cluster::{AcknowledgedRegister, ClusterModel, ClusterState, Message, Mutation, address};
use crate::invariants::{ONE_REGISTER_PER_REVISION, VALUES_FOUND};
use crate::member::{PendingAccept, PendingElection, PendingRenewal, ProposalPurpose};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use vanewharf_clock::Timestamp;
use vanewharf_consensus::{
    AcceptOutcome, DurableWrite, ElectionOutcome, HeldLease, LEASE_DURATION, RenewalOutcome,
};
use vanewharf_protocol::messages::{Ballot, Register, Revision, Vote, VoteRequest, VoteResponse};

impl ClusterModel {
    pub fn deliver(&self, state: &mut ClusterState, message: Message, write_fails: bool) {
        if let Some(response) = message.response.clone() {
            return self.requester_receives(state, message, response);
        }
        let response = self.voter_receives(state, &message, write_fails);
        if matches!(message.request, VoteRequest::Release { .. }) {
            return;
        }
        if self.prompt_votes {
            self.requester_receives(state, message, response);
        } else {
            state.messages.push(Message { response: Some(response), ..message });
        }
    }

    /// Handles a request as the replica's voter task does: what a vote promises is on disk before the vote is sent.
    pub fn voter_receives(
        &self,
        state: &mut ClusterState,
        message: &Message,
        write_fails: bool,
    ) -> VoteResponse {
        let now = self.now(state, message.voter);
        let skips_record = self.has_mutation(Mutation::VoteBeforeWrite) && state.tick > 0;
        let member = &mut state.members[message.voter];
        let output = member.voter.handle_vote_request(message.request.clone(), now);
        let Some(write) = output.write else {
            return member.voter.response(output.vote);
        };
        if write_fails {
            if self.has_mutation(Mutation::FailedWriteMarkedPersisted) {
                // Without `UnpersistedFields`, the voter would take the record for persisted.
                member.voter.mark_persisted(DurableWrite::VoterRecord(member.voter.record()));
            }
            return member.voter.response(Vote::StorageFailed);
        }
        match &write {
            DurableWrite::VoterRecord(_) if skips_record => {}
            DurableWrite::VoterRecord(record) => member.record_on_disk = Some(record.clone()),
            DurableWrite::Register(register) => member.register_on_disk = Some(Register::clone(register)),
        }
        member.voter.mark_persisted(write);
        member.voter.response(output.vote)
    }

    fn requester_receives(&self, state: &mut ClusterState, message: Message, mut response: VoteResponse) {
        if self.has_mutation(Mutation::IncarnationsIgnored) {
            response.incarnation = 0;
            response.incarnations = BTreeMap::new();
        }
        let member = &mut state.members[message.requester];
        if !member.running {
            return;
        }
        let round = message.round;
        if let Some(pending) = member.election.take_if(|pending| pending.round == round) {
            self.handle_election_response(state, pending, message, response);
        } else if let Some(pending) = member.renewal.take_if(|pending| pending.round == round) {
            self.handle_renewal_response(state, pending, message, response);
        } else if let Some(pending) = member.take_accept(round) {
            self.handle_accept_response(state, pending, message, response);
        } else if let Some(pending) = member.recovery.take_if(|pending| pending.round == round) {
            self.handle_recovery_response(state, pending, message, response);
        }
    }

    fn handle_election_response(
        &self,
        state: &mut ClusterState,
        mut pending: PendingElection,
        message: Message,
        response: VoteResponse,
    ) {
        let (candidate, round) = (message.requester, message.round);
        let outcome = pending.election.record_response(address(message.voter), response);
        let member = &mut state.members[candidate];
        member.highest_ballot_seen =
            member.highest_ballot_seen.max(pending.election.highest_ballot_in_refusals());
        match outcome {
            ControlFlow::Continue(()) if state.has_messages_of(candidate, round) => {
                state.members[candidate].election = Some(pending);
            }
            // All voters have responded without a decision: the election is lost, and the granted leases are released.
            ControlFlow::Continue(()) => self.release_lost_election(state, candidate, &pending),
            ControlFlow::Break(ElectionOutcome::QueryMoreVoters(others)) => {
                // Voters that have not responded are asked again. Their responses to the first request are not counted.
                let is_of_round =
                    |in_flight: &Message| in_flight.requester == candidate && in_flight.round == round;
                state.messages.retain(|in_flight| !(is_of_round(in_flight) && in_flight.response.is_some()));
                pending.round = self.start_round(state, candidate, &others, message.request);
                state.members[candidate].election = Some(pending);
            }
            ControlFlow::Break(ElectionOutcome::Won(found))
                if state.members[candidate].claim.is_valid_for(pending.ballot) =>
            {
                self.win(state, candidate, pending.ballot, pending.requested_at, *found);
            }
            ControlFlow::Break(ElectionOutcome::Won(_) | ElectionOutcome::NotAVoter) => {
                self.release_lost_election(state, candidate, &pending);
            }
        }
    }

    fn handle_renewal_response(
        &self,
        state: &mut ClusterState,
        mut pending: PendingRenewal,
        message: Message,
        response: VoteResponse,
    ) {
        let requested_at = pending.requested_at;
        let outcome = pending.renewal.record_response(address(message.voter), response);
        let has_messages = state.has_messages_of(message.requester, message.round);
        let member = &mut state.members[message.requester];
        match outcome {
            ControlFlow::Break(()) => {
                let by_both_sets = pending.renewal.membership() == &member.committed_membership();
                let claim = member.claim;
                if let Some(lease) = member.lease.filter(|lease| claim.is_valid_for(lease.ballot)) {
                    member.lease = Some(self.with_margin(lease.renewed(requested_at), requested_at));
                    member.needs_renewal_by_both_sets &= !by_both_sets;
                }
            }
            ControlFlow::Continue(()) if has_messages => member.renewal = Some(pending),
            ControlFlow::Continue(()) => {
                if pending.renewal.outcome() == RenewalOutcome::Superseded {
                    member.lease = None;
                }
            }
        }
    }

    fn handle_accept_response(
        &self,
        state: &mut ClusterState,
        mut pending: PendingAccept,
        message: Message,
        response: VoteResponse,
    ) {
        let leaseholder = message.requester;
        if !matches!(response.vote, Vote::Accepted | Vote::Refused { .. }) {
            // The request is sent again until the voter accepts or refuses it.
            state.members[leaseholder].put_back_accept(pending);
            state.messages.push(Message { response: None, ..message });
            return;
        }
        match pending.accept.record_response(address(message.voter), response) {
            ControlFlow::Continue(()) => state.members[leaseholder].put_back_accept(pending),
            ControlFlow::Break(AcceptOutcome::Committed) => {
                self.commit(state, leaseholder, pending.purpose, pending.register);
            }
            ControlFlow::Break(AcceptOutcome::Rejected) => {}
        }
    }

    fn with_margin(&self, lease: HeldLease, requested_at: Timestamp) -> HeldLease {
        if self.has_mutation(Mutation::NoSafetyMargin) {
            HeldLease { valid_until: requested_at.after(LEASE_DURATION), ..lease }
        } else {
            lease
        }
    }

    fn win(
        &self,
        state: &mut ClusterState,
        winner: usize,
        ballot: Ballot,
        requested_at: Timestamp,
        found: Register,
    ) {
        let lease = self.with_margin(HeldLease::granted(ballot, requested_at), requested_at);
        // The winner has to find all acknowledged values, including those of leaseholders under higher ballots. If its
        // lease has expired when the last vote arrives, only values of lower ballots count: the winner serves nothing
        // under that lease, and no voter accepts its register.
        let earlier_values = match lease.is_valid(self.now(state, winner)) {
            true => state.acknowledged_values(),
            false => state.values_acknowledged_below(ballot),
        };
        if !earlier_values.is_subset(&found.evacuated) {
            state.violation = Some(VALUES_FOUND);
        }
        state.elections_won.insert(ballot, found.evacuated.clone());
        let member = &mut state.members[winner];
        member.lease = Some(lease);
        member.next_revision = Revision(found.revision.0 + 1);
        let register = Register { ballot, ..found };
        if register.revision == Revision(0) {
            self.commit(state, winner, ProposalPurpose::Repropose, register);
        } else {
            self.request_acceptance(state, winner, ProposalPurpose::Repropose, register);
        }
    }

    /// Handles a register that a majority has on disk: it is acknowledged and published if the lease is still valid.
    fn commit(
        &self,
        state: &mut ClusterState,
        leaseholder: usize,
        purpose: ProposalPurpose,
        register: Register,
    ) {
        let now = self.now(state, leaseholder);
        let member = &mut state.members[leaseholder];
        let Some(lease) = member.lease.filter(|lease| lease.ballot == register.ballot) else {
            return;
        };
        match purpose {
            ProposalPurpose::Repropose => {
                member.lease = Some(HeldLease { register_committed: true, ..lease })
            }
            _ if !lease.may_serve(now) => return,
            ProposalPurpose::BeginChange => member.needs_renewal_by_both_sets = true,
            ProposalPurpose::Value | ProposalPurpose::FinishChange => {}
        }
        if purpose != ProposalPurpose::Repropose {
            self.acknowledge_earlier_rounds(state, leaseholder, &register);
            acknowledge(state, &register);
        }
        // As in the publisher's `VersionStore`, a round that completes after a newer one changes nothing.
        let published = &mut state.members[leaseholder].published;
        if published.as_ref().is_none_or(|published| register.rank() > published.rank()) {
            *published = Some(register);
        }
    }

    /// Acknowledges the changes of earlier rounds, which the committed register of a later round includes.
    fn acknowledge_earlier_rounds(&self, state: &mut ClusterState, leaseholder: usize, committed: &Register) {
        let is_earlier = |pending: &PendingAccept| pending.register.rank() < committed.rank();
        let accepts = &mut state.members[leaseholder].accepts;
        let (earlier, later): (Vec<_>, Vec<_>) = std::mem::take(accepts).into_iter().partition(is_earlier);
        *accepts = later;
        earlier.iter().for_each(|pending| acknowledge(state, &pending.register));
    }
}

/// Records an acknowledged register, and a violation if it contradicts what was found or acknowledged before.
fn acknowledge(state: &mut ClusterState, register: &Register) {
    let was_missed = |(ballot, found): (&Ballot, &BTreeSet<String>)| {
        *ballot > register.ballot && !register.evacuated.is_subset(found)
    };
    if state.elections_won.iter().any(was_missed) {
        state.violation = Some(VALUES_FOUND);
    }
    let acknowledged = AcknowledgedRegister {
        values: register.evacuated.clone(),
        membership: register.membership.clone(),
        ballot: register.ballot,
    };
    let before = state.acknowledged.entry(register.revision).or_insert_with(|| acknowledged.clone());
    if (&before.values, &before.membership) != (&acknowledged.values, &acknowledged.membership) {
        state.violation = Some(ONE_REGISTER_PER_REVISION);
    }
}

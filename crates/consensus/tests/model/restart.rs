//! Crashes, restarts and recoveries of members. This models the controller's replica.

use crate::cluster::{ClusterModel, ClusterState, Message, Mutation, address, index_of};
use crate::member::PendingRecovery;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_consensus::{RecoveryRound, RecoveryStep, StartKind, Voter, VoterRecord};
use vanewharf_protocol::messages::{Register, Vote, VoteRequest, VoteResponse};

impl ClusterModel {
    /// Ends the process. Messages to it are lost; requests that it has sent may still arrive.
    pub fn crash(&self, state: &mut ClusterState, index: usize) {
        state.members[index].crash();
        let is_lost = |message: &Message| {
            message.requester == index && (message.response.is_some() || message.voter == index)
        };
        state.messages.retain(|message| !is_lost(message));
    }

    pub fn restart(&self, state: &mut ClusterState, index: usize) {
        let now = self.now(state, index);
        let random = self.disk_losses_so_far(state);
        let member = &mut state.members[index];
        member.running = true;
        let (record, register) = (member.record_on_disk.as_ref(), member.register_on_disk.clone());
        member.voter = Voter::start(record, register, &self.seeds(), StartKind::Restart, now);
        if self.has_mutation(Mutation::NoGrantSuspension) {
            member.voter.end_grant_suspension(member.voter.promised_ballot(), now);
        }
        if member.voter.is_amnesic() {
            self.recover(state, index, random);
        }
    }

    /// Asks the candidate to which a restarted voter had promised its ballot whether it holds the lease, as the
    /// replica's `query_previous_leaseholder` does. The query is answered immediately.
    pub fn query_previous_leaseholder(&self, state: &mut ClusterState, asker: usize) {
        let Some(record) = state.members[asker].record_on_disk.clone() else {
            return;
        };
        let Some(promised_to) = record.promised_to.map(index_of) else {
            return;
        };
        let (now, time_at_promised) = (self.now(state, asker), self.now(state, promised_to));
        let promised_member = &mut state.members[promised_to];
        let mut claim = promised_member.claim;
        if !promised_member.running
            || claim.answer_lease_query(record.ballot, promised_member.lease, time_at_promised)
        {
            return;
        }
        if !self.has_mutation(Mutation::ClaimNotRenounced) {
            promised_member.claim = claim;
        }
        state.members[asker].voter.end_grant_suspension(record.ballot, now);
    }

    fn recover(&self, state: &mut ClusterState, index: usize, random: u64) {
        let recovery = RecoveryRound::start(address(index), self.seeds(), random);
        let request = VoteRequest::Recover { member: address(index), incarnation: recovery.incarnation() };
        let others = self.seeds().into_iter().filter(|seed| *seed != address(index)).collect();
        let round = self.start_round(state, index, &others, request);
        state.members[index].recovery = Some(PendingRecovery { round, recovery });
    }

    pub fn handle_recovery_response(
        &self,
        state: &mut ClusterState,
        mut pending: PendingRecovery,
        message: Message,
        response: VoteResponse,
    ) {
        let step_by_first_seed = self.step_if_first_seed_trusted(state, &pending, &message, &response);
        let is_recovered = matches!(response.vote, Vote::Recovered { .. });
        let incarnation_before = pending.recovery.incarnation();
        pending.recovery.record_response(address(message.voter), response);
        let random = self.disk_losses_so_far(state);
        match step_by_first_seed.unwrap_or_else(|| pending.recovery.next_step(random)) {
            RecoveryStep::Restore(record, register) => {
                self.complete_recovery(state, message.requester, *record, *register);
            }
            RecoveryStep::Query(others) if pending.recovery.incarnation() != incarnation_before => {
                // Responses to requests of the previous incarnation are not counted any more.
                let (index, incarnation) = (message.requester, pending.recovery.incarnation());
                let request = VoteRequest::Recover { member: address(index), incarnation };
                pending.round = self.start_round(state, index, &others, request);
                state.members[index].recovery = Some(pending);
            }
            RecoveryStep::Query(others) => {
                let responded = is_recovered.then_some(message.voter);
                self.query_remaining(state, pending, message, others, responded);
            }
        }
    }

    /// Sends requests to the members that have not reported their state and have no message of this recovery in flight.
    fn query_remaining(
        &self,
        state: &mut ClusterState,
        pending: PendingRecovery,
        message: Message,
        others: BTreeSet<SocketAddr>,
        responded: Option<usize>,
    ) {
        let index = message.requester;
        let is_asked = |other: usize| {
            state.messages.iter().any(|message| message.requester == index && message.voter == other)
        };
        let respondents = pending.recovery.respondents();
        let remaining: BTreeSet<_> = others
            .into_iter()
            .filter(|other| !is_asked(index_of(*other)) && !respondents.contains(other))
            .filter(|other| responded != Some(index_of(*other)))
            .collect();
        self.send_requests(state, index, message.round, &remaining, message.request);
        state.members[index].recovery = Some(pending);
    }

    fn complete_recovery(
        &self,
        state: &mut ClusterState,
        index: usize,
        record: VoterRecord,
        register: Register,
    ) {
        let now = self.now(state, index);
        let member = &mut state.members[index];
        member.record_on_disk = Some(record.clone());
        member.register_on_disk = Some(register.clone());
        member.voter.complete_recovery(&record, register, now);
        if self.has_mutation(Mutation::NoGrantSuspension) {
            member.voter.end_grant_suspension(member.voter.promised_ballot(), now);
        }
    }

    /// Returns the step of [`Mutation::FirstSeedTrusted`], which restores the state that the first response reports.
    fn step_if_first_seed_trusted(
        &self,
        state: &ClusterState,
        pending: &PendingRecovery,
        message: &Message,
        response: &VoteResponse,
    ) -> Option<RecoveryStep> {
        if !self.has_mutation(Mutation::FirstSeedTrusted) {
            return None;
        }
        let Vote::Recovered { promised, register } = &response.vote else {
            return None;
        };
        let now = self.now(state, message.requester);
        let incarnation = pending.recovery.incarnation();
        let voters = &register.membership.voters;
        let empty_record = Voter::start(None, None, voters, StartKind::Initial, now).record();
        let record = VoterRecord { ballot: *promised, incarnation, ..empty_record };
        Some(RecoveryStep::Restore(Box::new(record), Box::new(register.clone())))
    }

    /// Returns the number of disk losses so far. It replaces random numbers, as it differs after each loss.
    fn disk_losses_so_far(&self, state: &ClusterState) -> u64 {
        u64::from(self.budget.disk_losses - state.remaining.disk_losses)
    }
}

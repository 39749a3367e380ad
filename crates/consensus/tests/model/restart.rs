//! How members crash, restart and recover, as the controller's replica does it.

use crate::cluster::{ClusterModel, ClusterState, Message, PlantedFault, address, index_of};
use crate::member::RecoveryUnderway;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_consensus::{RecoveryRound, RecoveryStep, StartKind, Voter, VoterRecord};
use vanewharf_protocol::messages::{Register, Vote, VoteRequest, VoteResponse};

impl ClusterModel {
    /// The process ends, and messages to it are lost; requests that it has sent may still arrive.
    pub fn crash(&self, state: &mut ClusterState, index: usize) {
        state.members[index].crash();
        let is_lost = |message: &Message| {
            message.requester == index && (message.response.is_some() || message.voter == index)
        };
        state.messages.retain(|message| !is_lost(message));
    }

    pub fn restart(&self, state: &mut ClusterState, index: usize) {
        let now = self.now(state, index);
        let random = self.disks_lost(state);
        let member = &mut state.members[index];
        member.running = true;
        let (record, register) = (member.record_on_disk.as_ref(), member.register_on_disk.clone());
        member.voter = Voter::start(record, register, &self.seeds(), StartKind::Restart, now);
        if self.has(PlantedFault::NoQuietPeriod) {
            member.voter.end_quiet_period(member.voter.promised_ballot(), now);
        }
        if member.voter.is_amnesic() {
            self.recover(state, index, random);
        }
    }

    /// As the replica's `inquire`; asked and answered at once.
    pub fn inquire(&self, state: &mut ClusterState, asker: usize) {
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
            || claim.answer_inquiry(record.ballot, promised_member.lease, time_at_promised)
        {
            return;
        }
        if !self.has(PlantedFault::ClaimNotRenounced) {
            promised_member.claim = claim;
        }
        state.members[asker].voter.end_quiet_period(record.ballot, now);
    }

    fn recover(&self, state: &mut ClusterState, index: usize, random: u64) {
        let recovery = RecoveryRound::start(address(index), self.seeds(), random);
        let request = VoteRequest::Recover { member: address(index), incarnation: recovery.incarnation() };
        let others = self.seeds().into_iter().filter(|seed| *seed != address(index)).collect();
        let round = self.start_round(state, index, &others, request);
        state.members[index].recovery = Some(RecoveryUnderway { round, recovery });
    }

    pub fn recovery_response(
        &self,
        state: &mut ClusterState,
        mut underway: RecoveryUnderway,
        message: Message,
        response: VoteResponse,
    ) {
        let believed = self.step_of_first_seed(state, &underway, &message, &response);
        let is_recovered = matches!(response.vote, Vote::Recovered { .. });
        let incarnation_before = underway.recovery.incarnation();
        underway.recovery.record_response(address(message.voter), response);
        let random = self.disks_lost(state);
        match believed.unwrap_or_else(|| underway.recovery.next_step(random)) {
            RecoveryStep::Restore(record, register) => {
                self.complete_recovery(state, message.requester, *record, *register);
            }
            RecoveryStep::Query(others) if underway.recovery.incarnation() != incarnation_before => {
                // What others respond to the incarnation before is not counted any more.
                let (index, incarnation) = (message.requester, underway.recovery.incarnation());
                let request = VoteRequest::Recover { member: address(index), incarnation };
                underway.round = self.start_round(state, index, &others, request);
                state.members[index].recovery = Some(underway);
            }
            RecoveryStep::Query(others) => {
                let responded = is_recovered.then_some(message.voter);
                self.query_remaining(state, underway, message, others, responded);
            }
        }
    }

    /// Asks those that have reported nothing yet and have no message in flight.
    fn query_remaining(
        &self,
        state: &mut ClusterState,
        underway: RecoveryUnderway,
        message: Message,
        others: BTreeSet<SocketAddr>,
        responded: Option<usize>,
    ) {
        let index = message.requester;
        let is_asked =
            |other: usize| state.messages.iter().any(|one| one.requester == index && one.voter == other);
        let respondents = underway.recovery.respondents();
        let remaining: BTreeSet<_> = others
            .into_iter()
            .filter(|other| !is_asked(index_of(*other)) && !respondents.contains(other))
            .filter(|other| responded != Some(index_of(*other)))
            .collect();
        self.send_requests(state, index, message.round, &remaining, message.request);
        state.members[index].recovery = Some(underway);
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
        if self.has(PlantedFault::NoQuietPeriod) {
            member.voter.end_quiet_period(member.voter.promised_ballot(), now);
        }
    }

    /// With the fault planted, the first answer is taken for the outcome.
    fn step_of_first_seed(
        &self,
        state: &ClusterState,
        underway: &RecoveryUnderway,
        message: &Message,
        response: &VoteResponse,
    ) -> Option<RecoveryStep> {
        if !self.has(PlantedFault::FirstSeedTrusted) {
            return None;
        }
        let Vote::Recovered { promised, register } = &response.vote else {
            return None;
        };
        let now = self.now(state, message.requester);
        let incarnation = underway.recovery.incarnation();
        let voters = &register.membership.voters;
        let blank = Voter::start(None, None, voters, StartKind::Initial, now).record();
        let record = VoterRecord { ballot: *promised, incarnation, ..blank };
        Some(RecoveryStep::Restore(Box::new(record), Box::new(register.clone())))
    }

    /// Stands for randomness: different after each loss of a disk.
    fn disks_lost(&self, state: &ClusterState) -> u64 {
        u64::from(self.budget.disk_losses - state.remaining.disk_losses)
    }
}

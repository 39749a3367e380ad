//! The requests that candidates and leaseholders send. This models the controller's replica.

use crate::cluster::{ClusterModel, ClusterState, Message, Mutation, address, index_of};
use crate::member::{PendingAccept, PendingElection, PendingRenewal, ProposalPurpose};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_consensus::{
    AcceptRound, BallotClaim, Election, RenewalRound, all_voters, next_ballot, next_membership,
};
use vanewharf_protocol::messages::{Ballot, Register, Revision, Vote, VoteRequest, VoteResponse};

/// An index that no member has. It takes the place of every proposer's index where ballots are not unique.
const SHARED_PROPOSER: usize = 9;

impl ClusterModel {
    /// Starts a round, sends its requests and returns its number.
    pub fn start_round(
        &self,
        state: &mut ClusterState,
        requester: usize,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
    ) -> u8 {
        state.members[requester].rounds_started += 1;
        let round = state.members[requester].rounds_started;
        self.send_requests(state, requester, round, voters, request);
        round
    }

    pub fn send_requests(
        &self,
        state: &mut ClusterState,
        requester: usize,
        round: u8,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
    ) {
        for voter in voters {
            let (voter, request) = (index_of(*voter), request.clone());
            state.messages.push(Message { requester, round, voter, request, response: None });
        }
    }

    pub fn campaign(&self, state: &mut ClusterState, index: usize) {
        state.remaining.elections = state.remaining.elections.saturating_sub(1);
        let requested_at = self.now(state, index);
        let member = &mut state.members[index];
        let proposer = if self.has_mutation(Mutation::BallotsNotUnique) { SHARED_PROPOSER } else { index };
        let highest_seen = member.highest_ballot_seen.max(member.voter.promised_ballot());
        let ballot = next_ballot(highest_seen, address(proposer));
        member.claim = BallotClaim::new(ballot);
        member.lease = None;
        member.accepts.clear();
        member.renewal = None;
        member.needs_renewal_by_both_sets = false;
        let (membership, rank) = member.newest_membership();
        let mut voters = all_voters(&membership);
        let mut election = Election::start(address(index), membership, rank);
        let request = VoteRequest::Lease { ballot, candidate: address(index) };
        if !self.has_mutation(Mutation::OwnVoteNotFirst) {
            let Some(own_vote) = self.vote_for_itself(state, index, &request) else {
                return;
            };
            let outcome = election.record_response(address(index), own_vote);
            assert!(outcome.is_continue(), "the candidate's own vote must not decide the election");
            voters.remove(&address(index));
        }
        let round = self.start_round(state, index, &voters, request);
        state.members[index].election = Some(PendingElection { round, ballot, requested_at, election });
    }

    /// Has the candidate's own voter vote. The ballot is on disk there before any other voter receives it.
    fn vote_for_itself(
        &self,
        state: &mut ClusterState,
        index: usize,
        request: &VoteRequest,
    ) -> Option<VoteResponse> {
        let round = state.members[index].rounds_started;
        let request =
            Message { requester: index, round, voter: index, request: request.clone(), response: None };
        let response = self.voter_receives(state, &request, false);
        matches!(response.vote, Vote::Granted { .. }).then_some(response)
    }

    pub fn renew(&self, state: &mut ClusterState, index: usize) {
        state.remaining.renewals = state.remaining.renewals.saturating_sub(1);
        let Some(lease) = state.members[index].lease else {
            return;
        };
        let (requested_at, membership) = (self.now(state, index), state.members[index].membership());
        let request = VoteRequest::Renew { ballot: lease.ballot, leaseholder: address(index) };
        let round = self.start_round(state, index, &all_voters(&membership), request);
        let renewal = RenewalRound::start(lease.ballot, membership);
        state.members[index].renewal = Some(PendingRenewal { round, requested_at, renewal });
    }

    /// Proposes an operator's change. Each change adds a different value.
    pub fn propose_value(&self, state: &mut ClusterState, index: usize) {
        state.remaining.proposals -= 1;
        let value = format!("v{}", self.budget.proposals - state.remaining.proposals);
        self.propose(state, index, ProposalPurpose::Value, |register| {
            register.evacuated.insert(value);
        });
    }

    /// Proposes the next membership of a change of the set of voters, as the replica's `reconfigure`.
    pub fn reconfigure(&self, state: &mut ClusterState, index: usize, purpose: ProposalPurpose) {
        let member = &state.members[index];
        let current = if self.has_mutation(Mutation::UncommittedChangeFinished) {
            member.membership()
        } else {
            member.committed_membership()
        };
        let target = self.next_voters(&current).into_iter().collect();
        let Some(mut membership) = next_membership(&current, &target) else {
            return;
        };
        if self.has_mutation(Mutation::ChangeWithoutOutgoing) {
            membership.outgoing.clear();
        }
        self.propose(state, index, purpose, |register| register.membership = membership);
    }

    /// Proposes a register with the next revision under the current ballot. It is based on the newest register that was
    /// proposed for an operator's change under this ballot, or on the committed register if that is newer.
    fn propose(
        &self,
        state: &mut ClusterState,
        index: usize,
        purpose: ProposalPurpose,
        change: impl FnOnce(&mut Register),
    ) {
        let member = &mut state.members[index];
        let ballot = member.lease.expect("the proposer holds the lease").ballot;
        let committed = member.published.clone().unwrap_or_else(Register::empty);
        let is_newer = |proposed: &Register| proposed.ballot == ballot && proposed.rank() > committed.rank();
        let chain_end = member.last_proposed.clone().filter(is_newer);
        let chain_end = chain_end.filter(|_| !self.has_mutation(Mutation::RoundsNotChained));
        let mut register = chain_end.unwrap_or(committed);
        change(&mut register);
        register.ballot = ballot;
        register.revision = member.next_revision;
        if purpose == ProposalPurpose::Value {
            member.last_proposed = Some(register.clone());
        }
        member.next_revision = Revision(member.next_revision.0 + 1);
        self.request_acceptance(state, index, purpose, register);
    }

    pub fn request_acceptance(
        &self,
        state: &mut ClusterState,
        index: usize,
        purpose: ProposalPurpose,
        register: Register,
    ) {
        let accept = AcceptRound::start(&register);
        let mut voters = all_voters(&state.members[index].membership());
        voters.extend(all_voters(&register.membership));
        let request = VoteRequest::Accept { register: register.clone() };
        let round = self.start_round(state, index, &voters, request);
        state.members[index].accepts.push(PendingAccept { round, purpose, register, accept });
    }

    /// Gives up the lease, so that other candidates need not wait until it expires.
    pub fn resign(&self, state: &mut ClusterState, index: usize) {
        state.remaining.resignations -= 1;
        if let Some(lease) = state.members[index].lease.take() {
            let voters = all_voters(&state.members[index].membership());
            self.release(state, index, &voters, lease.ballot);
        }
    }

    /// Releases the leases that were granted in a lost election, so that other candidates need not wait until they
    /// expire.
    pub fn release_lost_election(&self, state: &mut ClusterState, index: usize, lost: &PendingElection) {
        if state.remaining.releases > 0 {
            state.remaining.releases -= 1;
            self.release(state, index, &all_voters(lost.election.membership()), lost.ballot);
        }
    }

    fn release(&self, state: &mut ClusterState, index: usize, voters: &BTreeSet<SocketAddr>, ballot: Ballot) {
        self.start_round(state, index, voters, VoteRequest::Release { ballot });
    }
}

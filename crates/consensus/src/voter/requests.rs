//! How a voter answers each kind of request.

use super::{DurableWrite, Voter, VoterOutput};
use crate::lease::GrantedLease;
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Register, Vote, VoteRequest};

impl Voter {
    /// Handles a request and returns the vote. A voter with amnesia answers every request with [`Vote::Amnesic`].
    pub fn handle_vote_request(&mut self, request: VoteRequest, now: Timestamp) -> VoterOutput {
        if self.amnesic {
            return VoterOutput::without_write(Vote::Amnesic { seeds: self.seeds.clone() });
        }
        match request {
            VoteRequest::PreVote { candidate } => self.handle_pre_vote(candidate, now),
            VoteRequest::Lease { ballot, candidate } => self.handle_lease_request(ballot, candidate, now),
            VoteRequest::Renew { ballot, leaseholder } => self.handle_renewal(ballot, leaseholder, now),
            VoteRequest::Accept { register } => self.handle_accept(register, now),
            VoteRequest::Release { ballot } => self.handle_release(ballot),
            VoteRequest::Recover { member, incarnation } => self.handle_recovery(member, incarnation),
        }
    }

    /// Answers whether this voter would grant a lease now, without promising anything.
    fn handle_pre_vote(&self, candidate: SocketAddr, now: Timestamp) -> VoterOutput {
        if self.may_grant_lease(candidate, now) {
            VoterOutput::without_write(Vote::WouldGrant { promised: self.record.ballot })
        } else {
            self.refuse(now)
        }
    }

    /// Promises a higher ballot and grants the lease under it.
    fn handle_lease_request(&mut self, ballot: Ballot, candidate: SocketAddr, now: Timestamp) -> VoterOutput {
        if ballot <= self.record.ballot || !self.may_grant_lease(candidate, now) {
            return self.refuse(now);
        }
        self.promise_with_lease(ballot, candidate, now);
        self.unpersisted.ballot = true;
        VoterOutput {
            vote: Vote::Granted { register: self.register.clone(), quota_divisor: self.record.quota_divisor },
            write: Some(DurableWrite::VoterRecord(self.record())),
        }
    }

    /// Extends the lease under the promised ballot. A voter that missed the election joins the majority behind the
    /// lease by a renewal under a ballot higher than its own, which it thereby promises.
    ///
    /// A renewal under the promised ballot is accepted even while grants are suspended after a restart: no other
    /// candidate uses that ballot, and this voter has granted no lease under a higher one.
    ///
    /// Such a renewal may be accepted while the disk is slow or busy with another write. It changes nothing durable:
    /// the ballot is on disk already, and the lease itself is never written, since a restarted voter grants no lease
    /// for one lease duration anyway. Only a renewal under a ballot that is not on disk yet has to wait for a write.
    fn handle_renewal(&mut self, ballot: Ballot, leaseholder: SocketAddr, now: Timestamp) -> VoterOutput {
        let is_higher = ballot > self.record.ballot;
        if ballot < self.record.ballot || is_higher && !self.may_grant_lease(leaseholder, now) {
            return self.refuse(now);
        }
        self.promise_with_lease(ballot, leaseholder, now);
        self.unpersisted.ballot |= is_higher;
        let write = self.unpersisted.ballot.then(|| DurableWrite::VoterRecord(self.record()));
        VoterOutput { vote: Vote::Accepted, write }
    }

    /// Accepts a register under the promised ballot or a higher one, unless it is older than the one that was accepted
    /// or learned. It becomes this voter's register once it is on disk.
    fn handle_accept(&self, register: Register, now: Timestamp) -> VoterOutput {
        // A register without voters is refused: no candidate could win an election after it.
        let names_no_membership = register.membership.epoch == 0;
        let is_older = register.rank() < self.register.rank().max(self.learned_rank);
        if names_no_membership || register.ballot < self.record.ballot || is_older {
            return self.refuse(now);
        }
        // A leaseholder uses each revision once under its ballot, so this register is the accepted one, sent again.
        if register.rank() == self.register.rank() {
            return VoterOutput::without_write(Vote::Accepted);
        }
        VoterOutput { vote: Vote::Accepted, write: Some(DurableWrite::Register(Box::new(register))) }
    }

    /// Ends the lease under that ballot, so that other candidates need not wait until it expires.
    fn handle_release(&mut self, ballot: Ballot) -> VoterOutput {
        if self.lease.is_some_and(|lease| lease.ballot == ballot) {
            self.lease = None;
        }
        VoterOutput::without_write(Vote::Accepted)
    }

    /// Reports to a member with amnesia what this voter has promised and accepted, and records the member's new
    /// incarnation. The incarnation is on disk before the response is sent: from then on, votes of the member's earlier
    /// incarnations must not be counted together with those of this voter.
    fn handle_recovery(&mut self, member: SocketAddr, incarnation: u64) -> VoterOutput {
        let known = self.record.peer_incarnations.get(&member).copied().unwrap_or(0);
        if incarnation < known {
            return VoterOutput::without_write(Vote::Superseded { incarnation: known });
        }
        self.record.peer_incarnations.insert(member, incarnation);
        self.unpersisted.peer_incarnations |= incarnation > known;
        // The response reports the promised ballot, so the ballot has to be on disk as well.
        let needs_write = self.unpersisted.peer_incarnations || self.unpersisted.ballot;
        VoterOutput {
            vote: Vote::Recovered { promised: self.record.ballot, register: self.register.clone() },
            write: needs_write.then(|| DurableWrite::VoterRecord(self.record())),
        }
    }

    /// Returns whether a lease may be granted to this candidate: no other candidate's lease is valid at this voter, and
    /// no lease that it granted before a restart can still be valid.
    fn may_grant_lease(&self, candidate: SocketAddr, now: Timestamp) -> bool {
        let is_held_by_another =
            self.lease.is_some_and(|lease| lease.is_valid(now) && lease.leaseholder != candidate);
        !is_held_by_another && now >= self.grants_suspended_until
    }

    fn promise_with_lease(&mut self, ballot: Ballot, leaseholder: SocketAddr, now: Timestamp) {
        self.record.ballot = ballot;
        self.record.promised_to = Some(leaseholder);
        self.lease = Some(GrantedLease::starting(ballot, leaseholder, now));
    }

    fn refuse(&self, now: Timestamp) -> VoterOutput {
        let vote = Vote::Refused { promised: self.record.ballot, leaseholder: self.leaseholder(now) };
        VoterOutput::without_write(vote)
    }
}

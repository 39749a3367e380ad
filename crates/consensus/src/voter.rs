//! One voter of the set that grants the lease and accepts registers.
//!
//! # State
//!
//! A voter has on disk its [`VoterRecord`], which contains the promised ballot, and the newest accepted register. The
//! lease that it has granted is kept in memory only.
//!
//! # Invariants
//!
//! * The promised ballot never decreases, and nothing is accepted under a lower one.
//! * A voter grants one lease at a time.
//! * A vote is sent only after what it promises is on disk ([`VoterOutput`]).
//! * A restarted voter grants no lease for one lease duration. Leases are not on disk, so it does not remember one that
//!   it may have granted just before the restart; after one lease duration that lease has expired. The suspension ends
//!   sooner if the candidate to which the ballot was promised answers that it holds no lease
//!   ([`Voter::end_grant_suspension`]). Grants are not suspended at the first start of a cluster, as nothing was granted
//!   before.
//! * A voter whose record is missing although the cluster was started before has amnesia: it does not know what it has
//!   promised, and votes on nothing until it has recovered ([`Voter::complete_recovery`]).

use crate::lease::{GrantedLease, LEASE_DURATION};
use crate::membership::initial_membership;
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Register, RegisterRank, Vote, VoteResponse};

mod record;
mod requests;

pub use record::{DurableWrite, VoterOutput, VoterRecord};

/// Whether the cluster is started for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The cluster was never started before: no lease was ever granted, and the seeds are the voters.
    Initial,
    /// The cluster was started before: a record that is missing on disk was lost.
    Restart,
}

/// One voter, as a pure state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// The voter's promises and other durable state. `unpersisted` tells which fields may not be on disk yet.
    record: VoterRecord,
    /// The newest accepted register, which is always on disk.
    register: Register,
    /// The rank of the newest register that this voter learned to be committed; the write of that register may be under
    /// way or have failed. Nothing older is accepted: such a vote could complete a majority for a register whose
    /// content the committed one does not include.
    learned_rank: RegisterRank,
    /// The last granted lease, which may have expired.
    lease: Option<GrantedLease>,
    /// Until then a lease that was granted before this start may still be valid, and no new one is granted.
    grants_suspended_until: Timestamp,
    /// Whether the voter has lost its record and not recovered yet.
    amnesic: bool,
    /// The seed controllers of this machine's configuration.
    seeds: Vec<SocketAddr>,
    unpersisted: UnpersistedFields,
}

/// The fields of the record that may not be on disk yet, because a write failed or is under way. They are written again
/// with the next vote that depends on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct UnpersistedFields {
    ballot: bool,
    peer_incarnations: bool,
}

impl Voter {
    /// Starts a voter with the record and the register that were found on disk.
    pub fn start(
        record: Option<&VoterRecord>,
        register: Option<Register>,
        seeds: &[SocketAddr],
        kind: StartKind,
        now: Timestamp,
    ) -> Voter {
        let is_initial = kind == StartKind::Initial;
        let amnesic = record.is_none() && !is_initial;
        let mut record = record.cloned().unwrap_or_else(|| VoterRecord {
            initial_members: if is_initial { seeds.to_vec() } else { Vec::new() },
            ..VoterRecord::default()
        });
        let register = register.unwrap_or_else(|| initial_register(&record.initial_members));
        record.ballot = record.ballot.max(register.ballot);
        Voter {
            record,
            register,
            learned_rank: RegisterRank::default(),
            lease: None,
            grants_suspended_until: if is_initial { now } else { now.after(LEASE_DURATION) },
            amnesic,
            seeds: seeds.to_vec(),
            unpersisted: UnpersistedFields::default(),
        }
    }

    /// Returns the record as it should be on disk.
    pub fn record(&self) -> VoterRecord {
        self.record.clone()
    }

    /// Returns the response by which a vote is sent. It names the incarnations that tell which votes are outdated (see
    /// `incarnation`).
    pub fn response(&self, vote: Vote) -> VoteResponse {
        VoteResponse {
            incarnation: self.record.incarnation,
            incarnations: self.record.peer_incarnations.clone(),
            vote,
        }
    }

    /// Returns the last quota divisor that this voter knew, or 0 if it knows none.
    pub fn quota_divisor(&self) -> u32 {
        self.record.quota_divisor
    }

    /// Records between how many proxies quotas are divided now; 0 stands for an unknown number and is ignored. Returns
    /// what to write if the number has changed. No vote depends on that write.
    pub fn update_quota_divisor(&mut self, quota_divisor: u32) -> Option<DurableWrite> {
        if self.amnesic || quota_divisor == 0 || quota_divisor == self.record.quota_divisor {
            return None;
        }
        self.record.quota_divisor = quota_divisor;
        Some(DurableWrite::VoterRecord(self.record()))
    }

    /// Returns whether the voter has lost its record and not recovered yet.
    pub fn is_amnesic(&self) -> bool {
        self.amnesic
    }

    /// Returns the highest ballot that this voter has promised.
    pub fn promised_ballot(&self) -> Ballot {
        self.record.ballot
    }

    /// Returns the promised ballot if it is known to be on disk. A renewal under that ballot needs no write.
    pub fn persisted_ballot(&self) -> Option<Ballot> {
        (!self.amnesic && !self.unpersisted.ballot).then_some(self.record.ballot)
    }

    /// Returns the newest register that this voter has accepted.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Returns the leaseholder whose lease is valid at this voter, if any.
    pub fn leaseholder(&self, now: Timestamp) -> Option<SocketAddr> {
        self.lease.filter(|lease| lease.is_valid(now)).map(|lease| lease.leaseholder)
    }

    /// Returns whether the controller of this voter may campaign for the lease.
    pub fn may_campaign(&self, now: Timestamp) -> bool {
        !self.amnesic && now >= self.grants_suspended_until && self.leaseholder(now).is_none()
    }

    /// Ends the suspension of grants after a restart, once the candidate to which `ballot` was promised has answered
    /// that it holds no lease under it and never will (see `ballot`). Has no effect for any ballot other than the
    /// promised one.
    pub fn end_grant_suspension(&mut self, ballot: Ballot, now: Timestamp) {
        if ballot == self.record.ballot && self.lease.is_none() {
            self.grants_suspended_until = self.grants_suspended_until.min(now);
        }
    }

    /// Takes over a register that the leaseholder has published as committed, if it is newer than the accepted one. A
    /// majority has accepted the register, so it is taken over even if this voter has promised a higher ballot since.
    /// Returns what to write. Taking a register over does not count as a vote.
    pub fn adopt_committed_register(&mut self, register: &Register) -> Option<DurableWrite> {
        // A register that was learned before is written again, as its write may have failed.
        let is_newer = register.rank() > self.register.rank() && register.rank() >= self.learned_rank;
        if self.amnesic || register.membership.epoch == 0 || !is_newer {
            return None;
        }
        self.learned_rank = register.rank();
        Some(DurableWrite::Register(Box::new(register.clone())))
    }

    /// Records that a write which this voter requested is on disk. Must not be called earlier: the voter's votes rely
    /// on what it believes to be on disk.
    pub fn mark_persisted(&mut self, write: DurableWrite) {
        match write {
            DurableWrite::VoterRecord(written) => {
                // The record may have changed since this write was requested; changed fields stay unpersisted.
                self.unpersisted.ballot &= written.ballot != self.record.ballot;
                self.unpersisted.peer_incarnations &=
                    written.peer_incarnations != self.record.peer_incarnations;
            }
            // Two writes may be under way at once; the newer register is kept.
            DurableWrite::Register(written) if written.rank() < self.register.rank() => {}
            DurableWrite::Register(written) => {
                self.record.ballot = self.record.ballot.max(written.ballot);
                self.register = *written;
            }
        }
    }

    /// Ends amnesia with the record and the register that were recovered from the other members. Both have to be on
    /// disk. Like any restarted voter, this one grants no lease for one lease duration: it may have granted one before
    /// it lost its disk.
    pub fn complete_recovery(&mut self, recovered: &VoterRecord, register: Register, now: Timestamp) {
        self.record = VoterRecord { ballot: recovered.ballot.max(register.ballot), ..recovered.clone() };
        self.register = register;
        self.learned_rank = RegisterRank::default();
        self.grants_suspended_until = now.after(LEASE_DURATION);
        self.amnesic = false;
        self.unpersisted = UnpersistedFields::default();
    }
}

/// Returns the register of a voter that has accepted none. It names no voters if the initial members are unknown.
fn initial_register(initial_members: &[SocketAddr]) -> Register {
    let membership = if initial_members.is_empty() {
        Membership::default()
    } else {
        initial_membership(initial_members.to_vec())
    };
    Register { membership, ..Register::empty() }
}

#[cfg(test)]
mod tests;

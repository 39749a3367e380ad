//! One voter of the set that grants the lease and accepts the operator's register.
//!
//! # State
//!
//! On disk: the promised ballot and what else is in [`VoterRecord`], and the newest accepted register. In memory only: the
//! lease that the voter has granted.
//!
//! # Invariants
//!
//! * The promised ballot never falls, and nothing is accepted under a lower one.
//! * One lease is granted at a time.
//! * A vote is sent only when what it promises is on disk ([`VoterOutput`]).
//! * A restarted voter grants no lease for one lease duration. It does not remember the lease that it may have granted just
//!   before; by then that one has ended. The wait ends sooner where the one to which the ballot was promised says that it
//!   holds no lease ([`Voter::end_quiet_period`]). At the first start of a cluster nothing was granted before.
//! * A voter whose record is missing although the cluster was started before has amnesia: it may have promised anything, and
//!   votes on nothing until it has recovered ([`Voter::complete_recovery`]).

use crate::lease::{GrantedLease, LEASE_DURATION};
use crate::membership::initial_membership;
use std::net::SocketAddr;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Ballot, Membership, Register, Vote, VoteResponse};

mod record;
mod requests;

pub use record::{DurableWrite, VoterOutput, VoterRecord};

/// Whether a cluster starts for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// Nothing was ever granted, and the seeds are the voters.
    Initial,
    /// The cluster was started before; what is missing on disk was lost.
    Restart,
}

/// One voter, as a pure state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// What it has promised; on disk once `unpersisted` says so.
    record: VoterRecord,
    /// The newest accepted register. It is always on disk.
    register: Register,
    lease: Option<GrantedLease>,
    /// A lease that was granted before this start may last until then.
    grants_suspended_until: Timestamp,
    /// It has lost its record, and not recovered yet.
    amnesic: bool,
    /// The controllers that this machine was configured with.
    seeds: Vec<SocketAddr>,
    unpersisted: UnpersistedFields,
}

/// What of the record is not known to be on disk, as a write failed or is under way. It is written again with the next vote
/// that depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct UnpersistedFields {
    ballot: bool,
    peer_incarnations: bool,
}

impl Voter {
    /// Starts with what was found on disk.
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
            lease: None,
            grants_suspended_until: if is_initial { now } else { now.after(LEASE_DURATION) },
            amnesic,
            seeds: seeds.to_vec(),
            unpersisted: UnpersistedFields::default(),
        }
    }

    /// What should be on disk of what it has promised.
    pub fn record(&self) -> VoterRecord {
        self.record.clone()
    }

    /// A vote as it is sent: with the incarnations that tell which votes are out of date.
    pub fn response(&self, vote: Vote) -> VoteResponse {
        VoteResponse {
            incarnation: self.record.incarnation,
            incarnations: self.record.peer_incarnations.clone(),
            vote,
        }
    }

    /// The last quota divisor that it knew; 0: none.
    pub fn quota_divisor(&self) -> u32 {
        self.record.quota_divisor
    }

    /// Quotas are divided between so many proxies now (0: that is not known). Returns what to write, where that is new; no vote waits for it.
    pub fn update_quota_divisor(&mut self, quota_divisor: u32) -> Option<DurableWrite> {
        if self.amnesic || quota_divisor == 0 || quota_divisor == self.record.quota_divisor {
            return None;
        }
        self.record.quota_divisor = quota_divisor;
        Some(DurableWrite::VoterRecord(self.record()))
    }

    /// Whether it has lost its record, and not recovered yet.
    pub fn is_amnesic(&self) -> bool {
        self.amnesic
    }

    /// The highest ballot that it has promised.
    pub fn promised_ballot(&self) -> Ballot {
        self.record.ballot
    }

    /// The promised ballot, where it is known to be on disk. A renewal under it needs no write.
    pub fn persisted_ballot(&self) -> Option<Ballot> {
        (!self.amnesic && !self.unpersisted.ballot).then_some(self.record.ballot)
    }

    /// The newest register that it has accepted.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Whose lease is valid at this voter.
    pub fn leaseholder(&self, now: Timestamp) -> Option<SocketAddr> {
        self.lease.filter(|lease| lease.is_valid(now)).map(|lease| lease.holder)
    }

    /// Whether this voter's controller may try for the lease itself.
    pub fn may_campaign(&self, now: Timestamp) -> bool {
        !self.amnesic && now >= self.grants_suspended_until && self.leaseholder(now).is_none()
    }

    /// Ends the suspension of grants after a restart: the one to which `ballot` was promised says that it holds no lease
    /// under it, and never will (see `ballot::BallotClaim`). Without effect for any other ballot than the promised one.
    pub fn end_quiet_period(&mut self, ballot: Ballot, now: Timestamp) {
        if ballot == self.record.ballot && self.lease.is_none() {
            self.grants_suspended_until = self.grants_suspended_until.min(now);
        }
    }

    /// Takes over a register that the leaseholder has published as committed, where it is newer than the accepted one.
    /// Whatever was promised since, it was decided before. Returns what to write; nobody counts this as a vote.
    pub fn adopt_committed_register(&self, register: &Register) -> Option<DurableWrite> {
        let is_newer = register.membership.epoch > 0 && register.rank() > self.register.rank();
        (!self.amnesic && is_newer).then(|| DurableWrite::Register(Box::new(register.clone())))
    }

    /// A write that this voter asked for is on disk. To be called only after that: what it has on disk is what it votes by.
    pub fn mark_persisted(&mut self, write: DurableWrite) {
        match write {
            DurableWrite::VoterRecord(written) => {
                // A newer record may still be on its way to the disk.
                self.unpersisted.ballot &= written.ballot != self.record.ballot;
                self.unpersisted.peer_incarnations &=
                    written.peer_incarnations != self.record.peer_incarnations;
            }
            // Of two registers that were on their way to the disk at once the newer one stands.
            DurableWrite::Register(written) if written.rank() < self.register.rank() => {}
            DurableWrite::Register(written) => {
                self.record.ballot = self.record.ballot.max(written.ballot);
                self.register = *written;
            }
        }
    }

    /// A voter with amnesia has recovered what the others know, and both are on disk. It grants nothing for one lease
    /// duration, like any restarted voter: before it forgot, it may have granted a lease.
    pub fn complete_recovery(&mut self, recovered: &VoterRecord, register: Register, now: Timestamp) {
        self.record = VoterRecord { ballot: recovered.ballot.max(register.ballot), ..recovered.clone() };
        self.register = register;
        self.grants_suspended_until = now.after(LEASE_DURATION);
        self.amnesic = false;
        self.unpersisted = UnpersistedFields::default();
    }
}

/// The register of a cluster in which none was accepted yet; without a membership where the voters are not known.
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

//! The consensus engine of the control plane. It decides which controller holds the lease, and which version of the
//! register (the operator's configuration, the evacuated zones and the set of voters) is committed.
//!
//! The engine is pure: it does no I/O, starts no tasks and reads no clock. Callers pass in the time and the messages,
//! and get back what to send and what to write to disk. The controller's replica owns the network, the disk and the
//! timers; the model checker under `tests/model/` drives the same code through every order of events.
//!
//! # Protocol
//!
//! * A **voter** ([`Voter`]) promises ballots, grants leases and accepts registers, as an acceptor does in Paxos. Each
//!   call returns a vote and what has to be on disk before that vote is sent ([`VoterOutput`]).
//! * A **candidate** checks that it can win ([`PreVoteRound`]) and requests the lease under a ballot of its own
//!   ([`Election`]). Before it proposes anything new, it proposes the newest register that the election found again,
//!   under its own ballot ([`AcceptRound`]).
//! * The **leaseholder** ([`HeldLease`]) renews its lease ([`RenewalRound`]), proposes registers ([`apply_changes`],
//!   [`AcceptRound`]) and changes the set of voters by joint consensus ([`plan_next_voters`], [`next_membership`]).
//! * A **member with amnesia**, whose disk was lost, takes no part until it has recovered ([`RecoveryRound`]).
//!
//! # Safety
//!
//! * *There is one leaseholder at a time*: a lease is granted by a majority, each voter grants one lease at a time, and
//!   the leaseholder stops acting [`LEASE_SAFETY_MARGIN`] before any voter of that majority can grant another (module
//!   `lease`).
//! * *A restarted voter grants no lease for one lease duration*, since leases are not on disk (module `voter`).
//! * *No committed register is lost*: every later candidate's majority shares a voter with the majority that accepted
//!   it (modules `election` and `accept`).
//! * *A change of the set of voters needs a majority of both sets* until it is finished (module `membership`).
//! * *A vote that a member cast before it lost its disk is not counted* together with a vote of a voter that knows of
//!   the loss (module `incarnation`).

#![forbid(unsafe_code)]

mod accept;
mod ballot;
mod election;
mod follower_tracker;
mod group_commit;
mod incarnation;
mod lease;
mod membership;
mod planner;
mod pre_vote;
mod quorum;
mod recovery;
mod renewal;
#[cfg(test)]
mod test_support;
mod voter;

pub use accept::{AcceptOutcome, AcceptRound};
pub use ballot::{BallotClaim, next_ballot};
pub use election::{Election, ElectionOutcome};
pub use follower_tracker::{FollowerTracker, LocalMember};
pub use group_commit::{ChangeOutcome, GroupCommit, OperatorChange, apply_changes};
pub use lease::{HeldLease, LEASE_DURATION, LEASE_SAFETY_MARGIN, RENEWAL_INTERVAL};
pub use membership::{all_voters, has_quorum, next_membership, voter_count_for};
pub use planner::{VoterCandidate, majority_in_sync, plan_next_voters, removes_voter_in_sync};
pub use pre_vote::PreVoteRound;
pub use quorum::QuorumTracker;
pub use recovery::{RecoveryRound, RecoveryStep};
pub use renewal::{RenewalOutcome, RenewalRound};
pub use voter::{DurableWrite, StartKind, Voter, VoterOutput, VoterRecord};

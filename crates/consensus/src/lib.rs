//! Leases, votes and membership: pure state machines that are told the time and do no input or output.

mod election;
mod group;
mod membership;
mod voter;

pub use election::{
    AcceptRound, BallotClaim, Election, ElectionOutcome, HeldLease, PreVoteRound, RecoveryRound,
    RecoveryStep, RenewalOutcome, RenewalRound,
};
pub use group::{ChangeOutcome, GroupCommit, OperatorChange, apply_changes};
pub use membership::{
    FollowerTracker, VoterCandidate, all_voters, assenting_voters, has_quorum, majority_in_sync,
    next_membership, plan_next_voters, voter_count_for,
};
pub use voter::{
    DurableWrite, LEASE_DURATION, LEASE_SAFETY_MARGIN, RENEWAL_INTERVAL, Voter, VoterOutput, VoterRecord,
    next_ballot,
};

//! One member of the modelled cluster: its process and its disk.

use vanewharf_clock::Timestamp;
use vanewharf_consensus::{
    AcceptRound, BallotClaim, Election, HeldLease, RecoveryRound, RenewalRound, Voter, VoterRecord,
};
use vanewharf_protocol::messages::{Ballot, Membership, Register, RegisterRank, Revision};

/// The number of concurrent accept rounds in the controller's order executor.
const MAX_CONCURRENT_ROUNDS: usize = 2;

/// The reason for which a register is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalPurpose {
    /// To commit the register that was found in the election under the new ballot.
    Repropose,
    /// To commit an operator's change.
    Value,
    /// To begin a change of the set of voters.
    BeginChange,
    /// To finish a change of the set of voters.
    FinishChange,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingElection {
    pub round: u8,
    pub ballot: Ballot,
    pub requested_at: Timestamp,
    pub election: Election,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingRenewal {
    pub round: u8,
    pub requested_at: Timestamp,
    pub renewal: RenewalRound,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingAccept {
    pub round: u8,
    pub purpose: ProposalPurpose,
    pub register: Register,
    pub accept: AcceptRound,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingRecovery {
    pub round: u8,
    pub recovery: RecoveryRound,
}

/// One process with its disk. State that is not on disk is lost when the process ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub running: bool,
    pub voter: Voter,
    pub record_on_disk: Option<VoterRecord>,
    pub register_on_disk: Option<Register>,
    /// The number of rounds that the member has started, also before restarts. The numbers of rounds distinguish their
    /// votes.
    pub rounds_started: u8,
    pub highest_ballot_seen: Ballot,
    pub claim: BallotClaim,
    pub election: Option<PendingElection>,
    pub lease: Option<HeldLease>,
    pub next_revision: Revision,
    /// The last register that was proposed for an operator's change, committed or not. The next one includes its
    /// changes.
    pub last_proposed: Option<Register>,
    pub renewal: Option<PendingRenewal>,
    /// Accept rounds in progress, the oldest first. If there are two, both are of operators' changes.
    pub accepts: Vec<PendingAccept>,
    /// The newest committed register that the member knows and publishes.
    pub published: Option<Register>,
    /// Whether the leaseholder has committed a joint membership and its lease has not been renewed by both sets since.
    pub needs_renewal_by_both_sets: bool,
    pub recovery: Option<PendingRecovery>,
}

impl Member {
    /// Creates a running member that has started no round yet.
    pub fn new(voter: Voter, record_on_disk: VoterRecord) -> Member {
        Member {
            running: true,
            voter,
            record_on_disk: Some(record_on_disk),
            register_on_disk: None,
            rounds_started: 0,
            highest_ballot_seen: Ballot(0),
            claim: BallotClaim::default(),
            election: None,
            lease: None,
            next_revision: Revision(0),
            last_proposed: None,
            renewal: None,
            accepts: Vec::new(),
            published: None,
            needs_renewal_by_both_sets: false,
            recovery: None,
        }
    }

    /// Ends the process and keeps the disk.
    pub fn crash(&mut self) {
        self.running = false;
        self.highest_ballot_seen = Ballot(0);
        self.claim = BallotClaim::default();
        self.election = None;
        self.lease = None;
        self.next_revision = Revision(0);
        self.last_proposed = None;
        self.renewal = None;
        self.accepts.clear();
        self.published = None;
        self.needs_renewal_by_both_sets = false;
        self.recovery = None;
    }

    /// Returns the newest membership that the member knows, committed or not, and the rank of the register that names
    /// it. This corresponds to the replica's `newest_membership`.
    pub fn newest_membership(&self) -> (Membership, RegisterRank) {
        let is_newer = |register: &&Register| register.rank() > self.voter.register().rank();
        let register = self.published.as_ref().filter(is_newer).unwrap_or(self.voter.register());
        (register.membership.clone(), register.rank())
    }

    pub fn membership(&self) -> Membership {
        self.newest_membership().0
    }

    pub fn committed_membership(&self) -> Membership {
        self.published.as_ref().map(|register| register.membership.clone()).unwrap_or_default()
    }

    /// Returns whether the member takes part in votes.
    pub fn can_vote(&self) -> bool {
        self.running && !self.voter.is_amnesic()
    }

    /// Returns whether the member has lost its promises. For a member that is down this depends on its disk.
    pub fn has_amnesia(&self) -> bool {
        if self.running { self.voter.is_amnesic() } else { self.record_on_disk.is_none() }
    }

    /// Returns whether the member may answer reads and take changes now.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        self.lease.is_some_and(|lease| lease.may_serve(now))
    }

    pub fn holds_lease(&self, now: Timestamp) -> bool {
        self.lease.is_some_and(|lease| lease.is_valid(now))
    }

    /// Returns whether responses of this round are still counted.
    pub fn counts_responses_of(&self, round: u8) -> bool {
        let others = [
            self.election.as_ref().map(|pending| pending.round),
            self.renewal.as_ref().map(|pending| pending.round),
            self.recovery.as_ref().map(|pending| pending.round),
        ];
        others.contains(&Some(round)) || self.accepts.iter().any(|pending| pending.round == round)
    }

    /// Returns whether another round of an operator's change may be started. The controller starts a second round if
    /// the first one is slow, as long as no other kind of round is in progress.
    pub fn may_propose(&self) -> bool {
        self.accepts.len() < MAX_CONCURRENT_ROUNDS
            && self.accepts.iter().all(|pending| pending.purpose == ProposalPurpose::Value)
    }

    /// Removes an accept round from those in progress.
    pub fn take_accept(&mut self, round: u8) -> Option<PendingAccept> {
        let position = self.accepts.iter().position(|pending| pending.round == round)?;
        Some(self.accepts.remove(position))
    }

    /// Puts an accept round that is still in progress back in its place.
    pub fn put_back_accept(&mut self, pending: PendingAccept) {
        self.accepts.push(pending);
        self.accepts.sort_by_key(|pending| pending.round);
    }
}

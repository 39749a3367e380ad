//! Election loop: campaigns for the lease whenever it is vacant.

use super::Replica;
use super::renewal::LeaseEnd;
use super::vote_rpc::VOTE_TIMEOUT;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_consensus::{
    BallotClaim, Election, ElectionOutcome, HeldLease, LEASE_DURATION, PreVoteRound, all_voters, next_ballot,
};
use vanewharf_protocol::messages::{Ballot, Membership, Register, Vote, VoteRequest, VoteResponse};

/// Interval at which a voter checks whether the lease is vacant.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a replica that is not a voter checks whether it has become one.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between the campaigns of consecutive voters in the membership, so that few of them campaign at the same time.
const CAMPAIGN_STAGGER: Duration = Duration::from_millis(120);
/// Upper bound of the random delay added to [`CAMPAIGN_STAGGER`].
const CAMPAIGN_JITTER_MS: u64 = 60;
/// Minimum delay after a failed campaign.
const CAMPAIGN_BACKOFF_MS: u64 = 50;
/// Upper bound of the random delay added to [`CAMPAIGN_BACKOFF_MS`].
const CAMPAIGN_BACKOFF_JITTER_MS: u64 = 200;

/// When the next campaign starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCampaign {
    WhenVacant,
    /// A voter promised a ballot above that of this process's lease, and no replica has won under that ballot.
    Immediately,
    /// This process could not commit under its lease; the other replicas may try first.
    AfterOthers,
}

impl Replica {
    /// Campaigns for the lease and holds it until it ends, in a loop that never returns.
    pub(super) async fn run_elections(self: Rc<Self>) {
        let mut next_campaign = NextCampaign::WhenVacant;
        loop {
            let position = self.membership().voters.iter().position(|voter| *voter == self.address);
            let jitter = Duration::from_millis(self.environment.random_below(CAMPAIGN_JITTER_MS));
            let Some(position) = position else {
                sleep(MEMBERSHIP_CHECK_INTERVAL).await;
                continue;
            };
            if next_campaign == NextCampaign::AfterOthers {
                sleep(LEASE_DURATION).await;
                next_campaign = NextCampaign::WhenVacant;
            }
            if next_campaign == NextCampaign::WhenVacant {
                let delay = CAMPAIGN_STAGGER * position as u32 + jitter;
                if !self.wait_for_vacancy(delay).await {
                    continue;
                }
            }
            next_campaign = self.campaign().await;
        }
    }

    /// Returns whether the lease is vacant, and is still vacant after a delay in which voters with a lower position may win
    /// it.
    async fn wait_for_vacancy(&self, delay: Duration) -> bool {
        sleep(VACANCY_CHECK_INTERVAL).await;
        if !self.voter.borrow().may_campaign(self.now()) || self.is_shutting_down.get() {
            return false;
        }
        sleep(delay).await;
        self.voter.borrow().may_campaign(self.now())
    }

    /// Runs one campaign and, if it wins the lease, holds the lease until it ends.
    async fn campaign(self: &Rc<Self>) -> NextCampaign {
        let (membership, known_rank) = self.newest_membership();
        let Some(highest_promised) = self.run_pre_vote(membership.clone()).await else {
            self.back_off().await;
            return NextCampaign::WhenVacant;
        };
        let ballot = self.ballot_above(highest_promised);
        // The lease duration is counted from before the first voter grants the lease.
        let lease = HeldLease::granted(ballot, self.now());
        self.claim.set(BallotClaim::new(ballot));
        let mut election = Election::start(self.address, membership, known_rank);
        let Some(own_vote) = self.vote_for_self(ballot).await else {
            self.back_off().await;
            return NextCampaign::WhenVacant;
        };
        let inherited = self.collect_lease_votes(&mut election, lease, own_vote).await;
        // The lease may have expired before it was won, for example while this process was suspended.
        let may_hold = |_: &Register| self.claim.get().is_valid_for(ballot) && lease.is_valid(self.now());
        let Some(inherited) = inherited.filter(may_hold) else {
            self.release_lease(election.membership(), ballot).await;
            self.back_off().await;
            return NextCampaign::WhenVacant;
        };
        self.quota_divisor_at_election.set(election.quota_divisor());
        self.lease.set(Some(lease));
        let lease_end = self.hold_lease(ballot, inherited).await;
        self.lease.set(None);
        spdlog::info!("lease ended", kv: { event = "lease_ended", ballot = ballot.0 });
        if lease_end != LeaseEnd::Preempted {
            self.release_lease(&self.membership(), ballot).await;
        }
        match lease_end {
            LeaseEnd::Preempted => NextCampaign::Immediately,
            LeaseEnd::Lost => NextCampaign::WhenVacant,
            LeaseEnd::NotCommitted => NextCampaign::AfterOthers,
        }
    }

    /// Checks whether a majority would grant the lease, before any voter promises a ballot. Returns the highest ballot that
    /// the assenting voters have promised.
    async fn run_pre_vote(self: &Rc<Self>, membership: Membership) -> Option<Ballot> {
        let voters = all_voters(&membership);
        let mut round = PreVoteRound::start(membership);
        let request = VoteRequest::PreVote { candidate: self.address };
        self.collect_votes(&voters, request, |voter, response| round.record_response(voter, response)).await
    }

    /// Returns a ballot above every ballot known to this process.
    fn ballot_above(&self, highest_promised: Ballot) -> Ballot {
        let own_promise = self.voter.borrow().promised_ballot();
        let highest = highest_promised.max(self.highest_ballot_in_refusals.get()).max(own_promise);
        next_ballot(highest, self.address)
    }

    /// Requests the lease from this process's own voter before any other voter receives the ballot. The ballot is therefore
    /// on disk before any message under it is sent, and is not used again after a restart. Otherwise a delayed message, such
    /// as the release of a lease granted in the earlier campaign, would take effect in the later one.
    async fn vote_for_self(&self, ballot: Ballot) -> Option<VoteResponse> {
        let request = VoteRequest::Lease { ballot, candidate: self.address };
        let response = self.request_vote(self.address, &request, VOTE_TIMEOUT).await?;
        matches!(response.vote, Vote::Granted { .. }).then_some(response)
    }

    /// Requests `lease`, which runs already, from the other voters. If it is won, returns the newest register that a voter of
    /// the majority has accepted.
    async fn collect_lease_votes(
        self: &Rc<Self>,
        election: &mut Election,
        lease: HeldLease,
        own_vote: VoteResponse,
    ) -> Option<Register> {
        let request = VoteRequest::Lease { ballot: lease.ballot, candidate: self.address };
        let mut voters = all_voters(election.membership());
        voters.remove(&self.address);
        // If there is no other voter, this response decides the election.
        let mut decided = election.record_response(self.address, own_vote).break_value();
        loop {
            if decided.is_none() {
                if !lease.is_valid(self.now()) {
                    return None;
                }
                let record_response = |voter, response| election.record_response(voter, response);
                decided = self.collect_votes(&voters, request.clone(), record_response).await;
            }
            match decided.take() {
                Some(ElectionOutcome::QueryMoreVoters(other_voters)) => voters = other_voters,
                Some(ElectionOutcome::Won(inherited)) => return Some(*inherited),
                Some(ElectionOutcome::NotAVoter) | None => return None,
            }
        }
    }

    async fn back_off(&self) {
        let jitter = self.environment.random_below(CAMPAIGN_BACKOFF_JITTER_MS);
        sleep(Duration::from_millis(CAMPAIGN_BACKOFF_MS + jitter)).await;
    }
}

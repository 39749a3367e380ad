//! The election loop: campaigns for the lease whenever nobody holds it.

use super::Replica;
use super::renewal::LeaseEnd;
use super::vote_rpc::VOTE_TIMEOUT;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_consensus::{
    BallotClaim, Election, ElectionOutcome, HeldLease, PreVoteRound, all_voters, next_ballot,
};
use vanewharf_protocol::messages::{Ballot, Membership, Register, Vote, VoteRequest, VoteResponse};

/// How often a voter looks whether the lease is vacant.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often a replica that is no voter looks whether it has become one.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// By how much later each voter campaigns than the one before it in the membership, so that few campaign at once.
const CAMPAIGN_STAGGER: Duration = Duration::from_millis(120);
/// The most by which a campaign is delayed at random beyond that, in milliseconds.
const CAMPAIGN_JITTER_MS: u64 = 60;
/// After a campaign that failed: at least so long, and at random so much longer.
const CAMPAIGN_BACKOFF_MS: u64 = 50;
const CAMPAIGN_BACKOFF_JITTER_MS: u64 = 200;

/// When to campaign next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCampaign {
    WhenVacant,
    /// This process lost its lease to a ballot that was promised and never won.
    AtOnce,
}

impl Replica {
    /// Campaigns for the lease, and holds it while that lasts; never returns.
    pub(super) async fn run_elections(self: Rc<Self>) {
        let mut next_campaign = NextCampaign::WhenVacant;
        loop {
            let position = self.membership().voters.iter().position(|voter| *voter == self.address);
            let jitter = Duration::from_millis(self.environment.random_below(CAMPAIGN_JITTER_MS));
            let Some(position) = position else {
                sleep(MEMBERSHIP_CHECK_INTERVAL).await;
                continue;
            };
            if next_campaign == NextCampaign::WhenVacant {
                let delay = CAMPAIGN_STAGGER * position as u32 + jitter;
                if !self.wait_for_vacancy(delay).await {
                    continue;
                }
            }
            next_campaign = self.campaign().await;
        }
    }

    /// Whether the lease is vacant, and is so still after a delay in which voters with a lower position may win it.
    async fn wait_for_vacancy(&self, delay: Duration) -> bool {
        sleep(VACANCY_CHECK_INTERVAL).await;
        if !self.voter.borrow().may_campaign(self.now()) || self.is_shutting_down.get() {
            return false;
        }
        sleep(delay).await;
        self.voter.borrow().may_campaign(self.now())
    }

    /// One campaign, and the lease that it wins, until that is lost.
    async fn campaign(self: &Rc<Self>) -> NextCampaign {
        let (membership, known_rank) = self.newest_membership();
        let Some(highest_promised) = self.run_pre_vote(membership.clone()).await else {
            self.back_off().await;
            return NextCampaign::WhenVacant;
        };
        let ballot = self.ballot_above(highest_promised);
        // The lease lasts from before the first voter grants it.
        let requested_at = self.now();
        self.claim.set(BallotClaim::new(ballot));
        let mut election = Election::start(self.address, membership, known_rank);
        let Some(own_vote) = self.vote_for_itself(ballot).await else {
            self.back_off().await;
            return NextCampaign::WhenVacant;
        };
        let found = self.collect_lease_votes(&mut election, ballot, own_vote).await;
        let Some(found) = found.filter(|_| self.claim.get().is_valid_for(ballot)) else {
            self.release_lease(election.membership(), ballot).await;
            self.back_off().await;
            return NextCampaign::WhenVacant;
        };
        self.elected_proxy_count.set(election.quota_divisor());
        self.lease.set(Some(HeldLease::granted(ballot, requested_at)));
        let lease_end = self.hold_lease(ballot, found).await;
        self.lease.set(None);
        spdlog::info!("lease ended", kv: { event = "lease_ended", ballot = ballot.0 });
        match lease_end {
            LeaseEnd::Preempted => NextCampaign::AtOnce,
            LeaseEnd::Lost => {
                self.release_lease(&self.membership(), ballot).await;
                NextCampaign::WhenVacant
            }
        }
    }

    /// Asks whether a majority would grant the lease, before any ballot is promised. Returns the highest ballot that those
    /// voters have promised.
    async fn run_pre_vote(self: &Rc<Self>, membership: Membership) -> Option<Ballot> {
        let voters = all_voters(&membership);
        let mut round = PreVoteRound::start(membership);
        let request = VoteRequest::PreVote { candidate: self.address };
        self.collect_votes(&voters, request, |voter, response| round.record_response(voter, response)).await
    }

    /// A ballot above all that this process knows of.
    fn ballot_above(&self, highest_promised: Ballot) -> Ballot {
        let own_promise = self.voter.borrow().promised_ballot();
        let highest = highest_promised.max(self.highest_refused_ballot.get()).max(own_promise);
        next_ballot(highest, self.address)
    }

    /// Asks this process' own voter for the lease, before any other voter hears of the ballot. So it is on disk whenever a
    /// message under it may be under way, and is not claimed again after a restart: one that arrives late, as the release of
    /// what the earlier campaign was granted, would count in the later one.
    async fn vote_for_itself(&self, ballot: Ballot) -> Option<VoteResponse> {
        let request = VoteRequest::Lease { ballot, candidate: self.address };
        let response = self.request_vote(self.address, &request, VOTE_TIMEOUT).await?;
        matches!(response.vote, Vote::Granted { .. }).then_some(response)
    }

    /// Asks the others for the lease. Returns the newest register that a majority had accepted, where it is won.
    async fn collect_lease_votes(
        self: &Rc<Self>,
        election: &mut Election,
        ballot: Ballot,
        own_vote: VoteResponse,
    ) -> Option<Register> {
        let request = VoteRequest::Lease { ballot, candidate: self.address };
        let mut voters = all_voters(election.membership());
        voters.remove(&self.address);
        // Decides the election where there is no other voter.
        let mut decided = election.record_response(self.address, own_vote).break_value();
        loop {
            if decided.is_none() {
                let record_response = |voter, response| election.record_response(voter, response);
                decided = self.collect_votes(&voters, request.clone(), record_response).await;
            }
            match decided.take() {
                Some(ElectionOutcome::QueryMoreVoters(other_voters)) => voters = other_voters,
                Some(ElectionOutcome::Won(found)) => return Some(*found),
                Some(ElectionOutcome::NotAVoter) | None => return None,
            }
        }
    }

    async fn back_off(&self) {
        let jitter = self.environment.random_below(CAMPAIGN_BACKOFF_JITTER_MS);
        sleep(Duration::from_millis(CAMPAIGN_BACKOFF_MS + jitter)).await;
    }
}

//! The election loop.

use super::{Replica, WATCH};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_consensus::all_voters;
use vanewharf_consensus::next_ballot;
use vanewharf_consensus::{BallotClaim, Election, ElectionOutcome, HeldLease, PreVoteRound};
use vanewharf_protocol::messages::VoteRequest;

/// By how much later each voter tries than the one before it.
const STAGGER: Duration = Duration::from_millis(120);

impl Replica {
    /// Tries for the lease whenever nobody holds it, or when a voter has promised more than the lease in hand.
    pub(super) async fn seek(self: Rc<Self>) {
        let mut again = false;
        loop {
            let place = self.membership().voters.iter().position(|voter| *voter == self.me);
            let chance = self.premises.random_below(60);
            let Some(place) = place else {
                sleep(WATCH * 5).await;
                continue;
            };
            if !std::mem::take(&mut again) {
                sleep(WATCH / 2).await;
                if !self.voter.borrow().may_campaign(self.now()) || self.leaving.get() {
                    continue;
                }
                sleep(STAGGER * place as u32 + Duration::from_millis(chance)).await;
                if !self.voter.borrow().may_campaign(self.now()) {
                    continue;
                }
            }
            let (set, known) = self.newest_set();
            let mut canvass = PreVoteRound::start(set.clone());
            let request = VoteRequest::PreVote { candidate: self.me };
            let promised = self
                .poll(&all_voters(&set), request, |voter, cast| canvass.record_response(voter, cast))
                .await;
            let Some(promised) = promised else {
                sleep(Duration::from_millis(50 + self.premises.random_below(200))).await;
                continue;
            };
            let ballot = next_ballot(
                promised.max(self.barred.get()).max(self.voter.borrow().promised_ballot()),
                self.me,
            );
            let asked = self.now();
            self.claim.set(BallotClaim::new(ballot));
            let request = VoteRequest::Lease { ballot, candidate: self.me };
            let mut ask = all_voters(&set);
            let mut election = Election::start(self.me, set, known);
            let found = loop {
                let hear = |voter, cast| election.record_response(voter, cast);
                match self.poll(&ask, request.clone(), hear).await {
                    Some(ElectionOutcome::QueryAlso(others)) => ask = others,
                    Some(ElectionOutcome::Won(found)) => break Some(*found),
                    Some(ElectionOutcome::NotAVoter) | None => break None,
                }
            };
            let Some(found) = found.filter(|_| self.claim.get().is_valid_for(ballot)) else {
                self.release(election.membership(), ballot).await;
                sleep(Duration::from_millis(50 + self.premises.random_below(200))).await;
                continue;
            };
            self.doors.set(election.quota_divisor());
            self.term.set(Some(HeldLease::granted(ballot, asked)));
            again = self.hold(ballot, found).await;
            self.term.set(None);
            spdlog::info!("the lease under ballot {} has ended", ballot.0);
            if !again {
                self.release(&self.membership(), ballot).await;
            }
        }
    }
}

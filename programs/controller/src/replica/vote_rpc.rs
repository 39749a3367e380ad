//! Vote requests to the voters, this process' own among them.

use super::Replica;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use vanewharf_consensus::{QuorumTracker, all_voters};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{Ballot, Membership, Vote, VoteRequest, VoteResponse};

/// For a response to a request that decides who holds the lease, or recovers a member.
pub(super) const VOTE_TIMEOUT: Duration = Duration::from_millis(600);

impl Replica {
    /// Sends a request to all of these voters at once, and hands each response to `record_response`. Returns what that
    /// breaks with, or `None` once all voters have responded or timed out.
    ///
    /// # Cancel safety
    /// Each request is sent by a task of its own, which goes on when the outcome is decided or the caller stops waiting:
    /// voters that are slow receive the request all the same, and a ballot by which one refuses is recorded. Responses
    /// that come then are dropped. Each task ends by the timeouts of its one request.
    pub(super) async fn collect_votes<T>(
        self: &Rc<Self>,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
        mut record_response: impl FnMut(SocketAddr, VoteResponse) -> ControlFlow<T>,
    ) -> Option<T> {
        let (responses, mut received) = mpsc::unbounded_channel();
        for &voter in voters {
            let replica = Rc::clone(self);
            let request = request.clone();
            let responses = responses.clone();
            tokio::task::spawn_local(async move {
                let response = replica.request_vote(voter, &request, VOTE_TIMEOUT).await;
                // Nobody receives it once the outcome is decided.
                let _ = responses.send((voter, response));
            });
        }
        // The tasks hold the remaining senders: the channel is closed when the last one ends.
        drop(responses);
        while let Some((voter, response)) = received.recv().await {
            if let Some(response) = response
                && let ControlFlow::Break(outcome) = record_response(voter, response)
            {
                return Some(outcome);
            }
        }
        None
    }

    /// Sends a request to one voter. Returns its response, or `None` where there was none in time.
    pub(super) async fn request_vote(
        &self,
        voter: SocketAddr,
        request: &VoteRequest,
        response_timeout: Duration,
    ) -> Option<VoteResponse> {
        let response = if voter == self.address {
            timeout(response_timeout, self.handle_vote_request(request.clone())).await.ok()?
        } else {
            self.call_voter(voter, request, response_timeout).await?
        };
        if let Vote::Refused { promised, .. } = response.vote {
            self.highest_refused_ballot.set(promised.max(self.highest_refused_ballot.get()));
        }
        Some(response)
    }

    /// A connection is used by one request at a time, and is reused only where that was answered. A request that failed, and
    /// arrives after the next one, has no effect: a lease that nobody waits for blocks no vacancy.
    ///
    /// # Cancel safety
    /// Closes the connection; the voter may handle the request all the same.
    async fn call_voter(
        &self,
        voter: SocketAddr,
        request: &VoteRequest,
        response_timeout: Duration,
    ) -> Option<VoteResponse> {
        self.clients.client(voter).call(endpoints::VOTE, request, response_timeout).await.ok()
    }

    /// Releases the lease under that ballot at the voters; returns once a quorum of them has answered, or all have
    /// answered or timed out.
    pub(super) async fn release_lease(self: &Rc<Self>, membership: &Membership, ballot: Ballot) {
        let mut tracker = QuorumTracker::new(membership.clone());
        let request = VoteRequest::Release { ballot };
        let record_response = |voter, response| {
            tracker.record(voter, response);
            match tracker.has_quorum() {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        };
        self.collect_votes(&all_voters(membership), request, record_response).await;
    }
}

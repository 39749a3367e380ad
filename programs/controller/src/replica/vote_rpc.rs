//! Sends vote requests to the voters, including the voter of this process.

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

/// Response timeout of vote requests, except those sent by [`Replica::replicate`].
pub(super) const VOTE_TIMEOUT: Duration = Duration::from_millis(600);

impl Replica {
    /// Sends a request to all `voters` concurrently and passes each response to `record_response`. Returns the value that
    /// `record_response` breaks with, or `None` once all voters have responded or timed out.
    ///
    /// # Cancel safety
    /// A separate task sends each request. It continues after the outcome is decided or the caller is cancelled, so slow
    /// voters still receive the request, and the promised ballot in a refusal is still recorded. Later responses are
    /// dropped. Each task ends within the timeouts of its single request.
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
                // The receiver is closed once the outcome is decided.
                let _ = responses.send((voter, response));
            });
        }
        // The tasks hold the remaining senders, so the channel closes when the last task ends.
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

    /// Sends a request to one voter. Returns the response, or `None` if none arrived in time.
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
            self.highest_ballot_in_refusals.set(promised.max(self.highest_ballot_in_refusals.get()));
        }
        Some(response)
    }

    /// Calls the voter of another replica. A connection carries one request at a time, and is reused only if that request
    /// was answered. If a failed request arrives after a later one of the same client, the server discards it by its call
    /// ID. A delayed lease request, whose candidate no longer waits for it, therefore does not block the lease.
    ///
    /// # Cancel safety
    /// Closes the connection; the voter may still handle the request.
    async fn call_voter(
        &self,
        voter: SocketAddr,
        request: &VoteRequest,
        response_timeout: Duration,
    ) -> Option<VoteResponse> {
        self.clients.client(voter).call(endpoints::VOTE, request, response_timeout).await.ok()
    }

    /// Releases the lease under `ballot` at the voters. Returns once a quorum has answered, or all voters have answered or
    /// timed out.
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

//! Vote requests to other replicas.

use super::{QUICK, Replica};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use vanewharf_consensus::{QuorumTracker, all_voters};
use vanewharf_protocol::messages::{Ballot, Membership, Vote, VoteRequest, VoteResponse};
use vanewharf_rpc::RpcClient;

impl Replica {
    pub(super) async fn ask(
        &self,
        voter: SocketAddr,
        request: &VoteRequest,
        within: Duration,
    ) -> Option<VoteResponse> {
        let cast = self.asked(voter, request, within).await?;
        if let Vote::Refused { promised, .. } = cast.vote {
            self.barred.set(promised.max(self.barred.get()));
        }
        Some(cast)
    }

    async fn asked(
        &self,
        voter: SocketAddr,
        request: &VoteRequest,
        within: Duration,
    ) -> Option<VoteResponse> {
        if voter == self.me {
            return timeout(within, self.vote(request.clone())).await.ok();
        }
        let kept = self.callers.borrow_mut().get_mut(&voter).and_then(Vec::pop);
        let mut caller = kept.unwrap_or_else(|| RpcClient::new(voter, &self.premises.network));
        let cast = caller.post("/vote", request, within).await.ok();
        if cast.is_some() {
            self.callers.borrow_mut().entry(voter).or_default().push(caller);
        }
        cast
    }

    /// Asks these at once; ends when what they say decides it, or with nothing once all have spoken or are silent.
    pub(super) async fn poll<T>(
        self: &Rc<Self>,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
        mut hear: impl FnMut(SocketAddr, VoteResponse) -> ControlFlow<T>,
    ) -> Option<T> {
        let (said, mut votes) = mpsc::unbounded_channel();
        for &voter in voters {
            let (replica, request, said) = (Rc::clone(self), request.clone(), said.clone());
            tokio::task::spawn_local(async move {
                let _ = said.send((voter, replica.ask(voter, &request, QUICK).await));
            });
        }
        drop(said);
        while let Some((voter, cast)) = votes.recv().await {
            if let Some(ControlFlow::Break(decided)) = cast.map(|cast| hear(voter, cast)) {
                return Some(decided);
            }
        }
        None
    }

    pub(super) async fn release(self: &Rc<Self>, set: &Membership, ballot: Ballot) {
        let mut tally = QuorumTracker::new(set.clone());
        let request = VoteRequest::Release { ballot };
        self.poll(&all_voters(set), request, |voter, cast| {
            tally.record(voter, cast);
            if tally.has_quorum() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        })
        .await;
    }
}

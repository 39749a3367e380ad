//! Voter set changes by joint consensus: the first step needs a majority of the old and of the new set, the final step a
//! majority of the new set alone. A voter leaves only after a majority of the new set has persisted all committed state.

use super::{Replica, ReplicationOutcome};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use vanewharf_consensus::{RenewalOutcome, next_membership};
use vanewharf_protocol::messages::{Membership, Register, Vote, VoteRequest, VoteResponse};

impl Replica {
    /// Replaces the set of voters. A change that an earlier leaseholder left unfinished is completed first.
    ///
    /// # Cancel safety
    /// If cancelled midway, the change remains in progress and the next change completes it.
    pub async fn reconfigure(self: &Rc<Self>, voters: BTreeSet<SocketAddr>) -> ReplicationOutcome {
        while let Some(membership) = next_membership(&self.committed_membership(), &voters) {
            let is_final_step = membership.outgoing.is_empty();
            // Both sets renew the lease before the final step. Otherwise the new set could elect another leaseholder while
            // a lease granted by the old set alone is still valid.
            if is_final_step && self.renew_lease(self.ballot()).await != RenewalOutcome::Renewed {
                return ReplicationOutcome::Uncertain;
            }
            let outcome = self.commit_change(|register| Register { membership, ..register }).await;
            if outcome == ReplicationOutcome::Uncertain {
                return ReplicationOutcome::Uncertain;
            }
            if is_final_step {
                let Membership { epoch, voters, .. } = self.membership();
                spdlog::info!(
                    "membership change committed",
                    kv: { event = "reconfiguration_end", epoch, voters:? }
                );
            }
        }
        ReplicationOutcome::Committed
    }

    /// Returns whether each of these controllers, including those that are not voters yet, accepts the newest register now.
    /// This shows that the controller is running and reachable, and that it has the register on disk.
    pub async fn all_accept_newest(self: &Rc<Self>, controllers: &BTreeSet<SocketAddr>) -> bool {
        let mut missing = controllers.clone();
        let request = VoteRequest::Accept { register: self.newest_register() };
        let record_response = |controller, response: VoteResponse| {
            if response.vote == Vote::Accepted {
                missing.remove(&controller);
            }
            if missing.is_empty() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        };
        let all_accepted = self.collect_votes(controllers, request, record_response).await.is_some();
        if !all_accepted {
            spdlog::warn!(
                "membership change not started: it removes an in-sync voter, and not all new voters have accepted the register",
                kv: { event = "reconfiguration_refused", unresponsive:? = missing }
            );
        }
        all_accepted
    }

    fn committed_membership(&self) -> Membership {
        let store = self.publisher.store();
        store.register.as_ref().map(|register| register.membership.clone()).unwrap_or_default()
    }
}

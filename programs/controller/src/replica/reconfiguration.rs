//! Changes of the set of voters, by joint consensus: first majorities of both sets are needed, then one of the new set. A
//! voter leaves only when a majority of the new set has persisted all that was committed.

use super::{Replica, ReplicationOutcome};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use vanewharf_consensus::{RenewalOutcome, next_membership};
use vanewharf_protocol::messages::{Membership, Register, Vote, VoteRequest, VoteResponse};

impl Replica {
    /// Replaces the set of voters. A change that a leaseholder before this one began is concluded first.
    ///
    /// # Cancel safety
    /// A change that is cancelled midway stays in progress; the next one concludes it.
    pub async fn reconfigure(self: &Rc<Self>, voters: BTreeSet<SocketAddr>) -> ReplicationOutcome {
        while let Some(membership) = next_membership(&self.committed_membership(), &voters) {
            let is_final_step = membership.outgoing.is_empty();
            // Before the final step both sets renew the lease: one that only the old set had granted could be overtaken by
            // a leaseholder that the new set elects.
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
                    "membership change is in force",
                    kv: { event = "reconfiguration_end", epoch, voters:? }
                );
            }
        }
        ReplicationOutcome::Committed
    }

    /// Whether all of these controllers, voters or not yet, accept the newest register now: they run, are in touch and have
    /// it on disk.
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
                "membership change is not begun: a voter that keeps up would leave, and not all others answer",
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

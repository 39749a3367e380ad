//! Holding the lease: commits the register inherited from earlier leaseholders, and renews the lease while a majority
//! agrees.
//!
//! A lease that has expired by this process's own clock is never renewed, even if no voter has granted another one in the
//! meantime: the process may have been suspended, and what it sent under the lease may be lost. It campaigns again.

use super::{Replica, ReplicationOutcome};
use std::rc::Rc;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use vanewharf_consensus::{HeldLease, RENEWAL_INTERVAL, RenewalOutcome, RenewalRound, all_voters};
use vanewharf_protocol::messages::{Ballot, Register, Revision, VoteRequest};

/// The way in which a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseEnd {
    /// The lease expired, was won by another replica, or was given up.
    Lost,
    /// A voter has promised a higher ballot, which did not win. That voter no longer accepts anything under this lease, so
    /// the lease must be won again under a ballot above that one.
    Preempted,
    /// The register that was found in the election could not be committed, so this process could not serve.
    NotCommitted,
}

impl Replica {
    /// Holds a lease that was won until it ends. `inherited` is the newest register found in the election.
    pub(super) async fn hold_lease(self: &Rc<Self>, ballot: Ballot, inherited: Register) -> LeaseEnd {
        spdlog::info!(
            "lease acquired",
            kv: { event = "lease_acquired", ballot = ballot.0, revision = inherited.revision.0 }
        );
        self.next_revision.set(Revision(inherited.revision.0 + 1));
        let register = Register { ballot, ..inherited };
        let commit_inherited = tokio::task::spawn_local(Rc::clone(self).commit_inherited_register(register));
        let lease_end = self.renew_until_end(ballot, &commit_inherited).await;
        // The task is cancelled at an await point, so it publishes the register completely or not at all. Voters may still
        // persist the register; the next election then finds it.
        commit_inherited.abort();
        lease_end
    }

    /// Commits the inherited register under this ballot as well; operator orders may be executed after that. If it ends
    /// without success, which takes at most [`super::replication::REPLICATION_TIMEOUT`], the lease is given up at the next
    /// renewal.
    async fn commit_inherited_register(self: Rc<Self>, register: Register) {
        let is_initial = register.revision == Revision(0);
        if is_initial || self.replicate(&register).await == ReplicationOutcome::Committed {
            self.begin_serving(register);
        }
    }

    fn begin_serving(&self, register: Register) {
        let Some(lease) = self.valid_lease(register.ballot) else {
            return;
        };
        self.lease.set(Some(HeldLease { register_committed: true, ..lease }));
        self.publisher.update(|store| {
            store.leaseholder = Some(self.address);
            store.set_register(Rc::new(register));
            true
        });
    }

    /// Renews the lease until it ends. `commit_inherited` is the task that commits the inherited register.
    async fn renew_until_end(self: &Rc<Self>, ballot: Ballot, commit_inherited: &JoinHandle<()>) -> LeaseEnd {
        loop {
            sleep(RENEWAL_INTERVAL).await;
            let is_voter = self.membership().voters.contains(&self.address);
            if self.is_shutting_down.get() || !is_voter {
                return LeaseEnd::Lost;
            }
            if self.renew_lease(ballot).await == RenewalOutcome::Superseded {
                return LeaseEnd::Lost;
            }
            let Some(lease) = self.valid_lease(ballot) else {
                return LeaseEnd::Lost;
            };
            if !lease.register_committed && commit_inherited.is_finished() {
                spdlog::warn!(
                    "inherited register not committed; giving up the lease",
                    kv: { event = "lease_given_up", ballot = ballot.0 }
                );
                return LeaseEnd::NotCommitted;
            }
            let promised_ballot = self.highest_ballot_in_refusals.get();
            if promised_ballot > ballot {
                spdlog::info!(
                    "voter has promised a higher ballot; giving up the lease and campaigning again",
                    kv: { event = "lease_preempted", ballot = ballot.0, promised_ballot = promised_ballot.0 }
                );
                return LeaseEnd::Preempted;
            }
        }
    }

    /// Renews the lease at a majority of the current voters. An expired lease is not renewed.
    pub(super) async fn renew_lease(self: &Rc<Self>, ballot: Ballot) -> RenewalOutcome {
        let requested_at = self.now();
        if self.valid_lease(ballot).is_none() {
            return RenewalOutcome::Incomplete;
        }
        let request = VoteRequest::Renew { ballot, leaseholder: self.address };
        let mut round = RenewalRound::start(ballot, self.membership());
        let voters = all_voters(round.membership());
        self.collect_votes(&voters, request, |voter, response| round.record_response(voter, response)).await;
        // In the meantime this process may have told a restarted voter that it does not hold the lease.
        if !self.claim.get().is_valid_for(ballot) {
            return RenewalOutcome::Superseded;
        }
        let outcome = round.outcome();
        if outcome != RenewalOutcome::Renewed {
            return outcome;
        }
        // The lease may have expired during the round.
        let Some(lease) = self.valid_lease(ballot) else {
            return RenewalOutcome::Incomplete;
        };
        self.lease.set(Some(lease.renewed(requested_at)));
        RenewalOutcome::Renewed
    }
}

//! Renewal of the lease.

use super::Replica;
use std::rc::Rc;
use tokio::time::sleep;
use vanewharf_consensus::RENEWAL_INTERVAL;
use vanewharf_consensus::all_voters;
use vanewharf_consensus::{HeldLease, RenewalOutcome, RenewalRound};
use vanewharf_protocol::messages::{Ballot, Register, Revision, VoteRequest};

impl Replica {
    /// Holds on for as long as a majority renews; stops before the lease ends. True where it should be had again at once,
    /// under a higher ballot: a voter that has promised one takes no part any more.
    pub(super) async fn hold(self: &Rc<Self>, ballot: Ballot, found: Register) -> bool {
        spdlog::info!("holds the lease under ballot {}, found register {}", ballot.0, found.revision.0);
        self.next.set(Revision(found.revision.0 + 1));
        let settling = {
            let replica = Rc::clone(self);
            tokio::task::spawn_local(async move {
                let register = Register { ballot, ..found };
                if register.revision == Revision(0) || replica.kept(&register).await {
                    replica.settle(register);
                }
            })
        };
        let again = loop {
            sleep(RENEWAL_INTERVAL).await;
            // One that has left the set hands the lease over.
            if self.leaving.get() || !self.membership().voters.contains(&self.me) {
                break false;
            }
            if self.renew(ballot).await == RenewalOutcome::Superseded {
                break false;
            }
            if self.term.get().is_none_or(|term| !term.is_valid(self.now())) {
                break false;
            }
            if self.barred.get() > ballot {
                spdlog::info!("a voter has promised ballot {}", self.barred.get().0);
                break true;
            }
        };
        settling.abort();
        again
    }

    /// For another term, by all who have a say now.
    pub(super) async fn renew(self: &Rc<Self>, ballot: Ballot) -> RenewalOutcome {
        let (asked, set) = (self.now(), self.membership());
        let request = VoteRequest::Renew { ballot, leaseholder: self.me };
        let mut renewing = RenewalRound::start(ballot, set);
        let voters = all_voters(renewing.membership());
        self.poll(&voters, request, |voter, cast| renewing.record_response(voter, cast)).await;
        if !self.claim.get().is_valid_for(ballot) {
            return RenewalOutcome::Superseded;
        }
        let outcome = renewing.outcome();
        if outcome == RenewalOutcome::Renewed
            && let Some(term) = self.term.get().filter(|term| term.ballot == ballot)
        {
            self.term.set(Some(term.renewed(asked)));
        }
        outcome
    }

    pub(super) fn settle(&self, register: Register) {
        let Some(term) = self.term.get().filter(|term| term.ballot == register.ballot) else {
            return;
        };
        self.term.set(Some(HeldLease { register_committed: true, ..term }));
        let me = self.me;
        self.feed.update(|store| {
            store.leaseholder = Some(me);
            store.set_register(Rc::new(register));
            true
        });
    }
}

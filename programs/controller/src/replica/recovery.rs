//! Recovery after a restart, with the disk or without.

use super::{PERSIST_RETRY_INTERVAL, QUICK, Replica, WATCH};
use crate::storage::{Record, Storage};
use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::rc::Rc;
use tokio::time::sleep;
use vanewharf_consensus::{LEASE_DURATION, VoterRecord};
use vanewharf_consensus::{RecoveryRound, RecoveryStep};
use vanewharf_protocol::messages::VoteRequest;
use vanewharf_rpc::RpcClient;

impl Replica {
    /// After a restart the one that was promised to may still hold its lease; one that says otherwise need not be waited
    /// for.
    pub async fn inquire(self: Rc<Self>, promised: VoterRecord) {
        let Some(holder) = promised.promised_to else {
            return;
        };
        let ends = self.now().after(LEASE_DURATION);
        while self.now() < ends {
            let held = if holder == self.me {
                Some(self.holds_by(promised.ballot))
            } else {
                RpcClient::new(holder, &self.premises.network)
                    .post("/holds", &promised.ballot, QUICK / 3)
                    .await
                    .ok()
            };
            match held {
                Some(false) => return self.voter.borrow_mut().end_quiet_period(promised.ballot, self.now()),
                Some(true) => return,
                None => sleep(WATCH / 2).await,
            }
        }
    }

    /// A voter with amnesia asks those who have a say what they promised and accepted, and promises that again: a machine
    /// that lost its disk is a new member of its old name until then.
    pub async fn recover(self: Rc<Self>, disk: Storage) {
        let mut recovering =
            RecoveryRound::start(self.me, self.seeds.clone(), self.premises.random_incarnation());
        let mut hear: BTreeSet<_> = self.seeds.iter().copied().filter(|seed| *seed != self.me).collect();
        while self.voter.borrow().is_amnesic() {
            let incarnation = recovering.incarnation();
            let request = VoteRequest::Recover { member: self.me, incarnation };
            self.poll(&hear, request, |member, cast| {
                recovering.record_response(member, cast);
                ControlFlow::<()>::Continue(())
            })
            .await;
            match recovering.next_step(self.premises.random_incarnation()) {
                RecoveryStep::Restore(promise, register) => {
                    while !(disk.save(Record::Register, &*register).await.is_ok()
                        && disk.save(Record::Promise, &*promise).await.is_ok())
                    {
                        sleep(PERSIST_RETRY_INTERVAL).await;
                    }
                    let no = register.revision;
                    self.voter.borrow_mut().complete_recovery(&promise, *register, self.now());
                    spdlog::warn!(
                        "recovered register {} from {} others",
                        no.0,
                        recovering.respondents().len()
                    );
                }
                RecoveryStep::Query(others) => {
                    hear = others;
                    // One that counts anew asks anew at once.
                    if recovering.incarnation() == incarnation {
                        sleep(PERSIST_RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }
}

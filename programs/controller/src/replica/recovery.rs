//! Recovery after a restart: shortens the wait for a lease granted before the restart, and recovers a voter that has lost
//! its disk (amnesia).

use super::{PERSIST_RETRY_INTERVAL, Replica};
use crate::storage::{Record, Storage, StorageError};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use vanewharf_consensus::{LEASE_DURATION, RecoveryRound, RecoveryStep, VoterRecord};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::{Register, VoteRequest};
use vanewharf_rpc::RpcClient;

/// Timeout of one query to the previous leaseholder.
const LEASE_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
const LEASE_QUERY_INTERVAL: Duration = Duration::from_millis(50);

impl Replica {
    /// Queries the replica to which this voter promised a ballot before the restart whether it still holds the lease. If it
    /// does not, the voter need not wait for that lease to expire.
    pub async fn query_previous_leaseholder(self: Rc<Self>, record: VoterRecord) {
        let Some(leaseholder) = record.promised_to else {
            return;
        };
        let deadline = self.now().after(LEASE_DURATION);
        while self.now() < deadline {
            let holds_lease = if leaseholder == self.address {
                Some(self.answer_lease_query(record.ballot))
            } else {
                let mut client = RpcClient::new(leaseholder, &self.environment.network);
                client.call(endpoints::HOLDS_LEASE, &record.ballot, LEASE_QUERY_TIMEOUT).await.ok()
            };
            match holds_lease {
                Some(true) => return,
                Some(false) => {
                    let now = self.now();
                    return self.voter.borrow_mut().end_grant_suspension(record.ballot, now);
                }
                None => sleep(LEASE_QUERY_INTERVAL).await,
            }
        }
    }

    /// Recovers a voter with amnesia: collects what the members have promised and accepted, and adopts these promises under
    /// a new incarnation. Until then the voter takes no part in the consensus.
    pub async fn recover_from_amnesia(self: Rc<Self>, storage: Storage) {
        let seeds = self.seeds.clone();
        let mut round = RecoveryRound::start(self.address, seeds, self.environment.random_incarnation());
        let other_seeds = self.seeds.iter().copied().filter(|seed| *seed != self.address);
        let mut members: BTreeSet<SocketAddr> = other_seeds.collect();
        while self.voter.borrow().is_amnesic() {
            let incarnation = round.incarnation();
            self.query_members(&members, &mut round).await;
            match round.next_step(self.environment.random_incarnation()) {
                RecoveryStep::Restore(record, register) => {
                    let revision = register.revision;
                    self.complete_recovery(&storage, &record, *register).await;
                    spdlog::warn!(
                        "voter had lost its disk and has recovered from other members",
                        kv: { event = "recovered", revision = revision.0, members = round.respondents().len() }
                    );
                }
                RecoveryStep::Query(queried) => {
                    members = queried;
                    // If the round has started a new incarnation, the members are told without delay.
                    let is_same_incarnation = round.incarnation() == incarnation;
                    if is_same_incarnation {
                        sleep(PERSIST_RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Queries the members once, and returns when each has responded or timed out.
    async fn query_members(self: &Rc<Self>, members: &BTreeSet<SocketAddr>, round: &mut RecoveryRound) {
        let request = VoteRequest::Recover { member: self.address, incarnation: round.incarnation() };
        let record_response = |member, response| {
            round.record_response(member, response);
            ControlFlow::<()>::Continue(())
        };
        self.collect_votes(members, request, record_response).await;
    }

    /// Persists the recovered state and completes the recovery. The register is written before the voter record, because
    /// after a restart a voter record without a register would look like that of a voter that never accepted any.
    async fn complete_recovery(&self, storage: &Storage, record: &VoterRecord, register: Register) {
        while persist_recovered(storage, record, &register).await.is_err() {
            sleep(PERSIST_RETRY_INTERVAL).await;
        }
        let now = self.now();
        self.voter.borrow_mut().complete_recovery(record, register, now);
    }
}

async fn persist_recovered(
    storage: &Storage,
    record: &VoterRecord,
    register: &Register,
) -> Result<(), StorageError> {
    storage.save(Record::Register, register).await?;
    storage.save(Record::Voter, record).await
}

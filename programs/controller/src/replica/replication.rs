//! Replication of registers to a majority of the voters.
//!
//! Under one ballot registers form a chain: each is derived from the last proposed one, so a voter that has accepted a
//! register has the changes of all registers before it.

use super::{PERSIST_RETRY_INTERVAL, Replica, ReplicationOutcome};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use vanewharf_consensus::{AcceptOutcome, AcceptRound, all_voters};
use vanewharf_protocol::messages::{Register, RegisterRank, Revision, Vote, VoteRequest, VoteResponse};

/// Timeout of a voter's response, which it sends after it has synced the register to disk.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2500);
/// The outcome of a register that no majority has persisted within this time is reported as uncertain.
pub(super) const REPLICATION_TIMEOUT: Duration = Duration::from_millis(5500);

/// Sends a voter's address with its response.
type ResponseSender = mpsc::UnboundedSender<(SocketAddr, VoteResponse)>;

impl Replica {
    /// Returns the register from which the next one is derived: the last one proposed under the lease's ballot, since it may
    /// yet be committed, or otherwise the committed one.
    pub fn newest_register(&self) -> Register {
        let committed = self.publisher.store().register.as_deref().cloned().unwrap_or_else(Register::empty);
        let ballot = self.ballot();
        let proposed = self.proposed.borrow();
        let is_newer = |register: &&Register| register.ballot == ballot && register.rank() > committed.rank();
        proposed.as_ref().filter(is_newer).cloned().unwrap_or(committed)
    }

    /// Returns whether `register` is the committed register and cannot have been replaced by another process.
    pub fn is_committed(&self, register: &Register) -> bool {
        let store = self.publisher.store();
        let committed = store.register.as_deref().map_or(RegisterRank::default(), Register::rank);
        self.holds_lease() && committed == register.rank()
    }

    /// Assigns the lease's ballot and the next revision to a register, and stores it as the last proposed one. Returns
    /// `None` if this process does not hold the lease.
    pub fn propose(&self, register: Register) -> Option<Register> {
        let register = self.assign_rank(register)?;
        *self.proposed.borrow_mut() = Some(register.clone());
        Some(register)
    }

    /// Replicates a proposed register, and publishes it once it is committed.
    ///
    /// # Cancel safety
    /// If cancelled, the outcome is uncertain: voters may still persist the register.
    pub async fn commit(self: &Rc<Self>, register: Register) -> ReplicationOutcome {
        let outcome = self.replicate(&register).await;
        let still_holds_lease = self.holds_lease() && self.ballot() == register.ballot;
        if outcome == ReplicationOutcome::Uncertain || !still_holds_lease {
            return ReplicationOutcome::Uncertain;
        }
        self.publisher.update(|store| store.set_register(Rc::new(register)));
        ReplicationOutcome::Committed
    }

    /// Commits a change of the newest register. Unlike [`Self::propose`] it does not store the result as the last proposed
    /// register, so that no register is derived from one whose outcome is uncertain. Used for membership changes, while no
    /// other replication is in flight.
    pub(super) async fn commit_change(
        self: &Rc<Self>,
        change: impl FnOnce(Register) -> Register,
    ) -> ReplicationOutcome {
        match self.assign_rank(change(self.newest_register())) {
            Some(register) => self.commit(register).await,
            None => ReplicationOutcome::Uncertain,
        }
    }

    /// Assigns the lease's ballot and the next revision to a register.
    fn assign_rank(&self, register: Register) -> Option<Register> {
        let lease = self.lease.get().filter(|_| self.holds_lease())?;
        let revision = self.next_revision.get();
        self.next_revision.set(Revision(revision.0 + 1));
        Some(Register { ballot: lease.ballot, revision, ..register })
    }

    /// Returns whether a later revision has been assigned under this lease.
    fn is_superseded(&self, revision: Revision) -> bool {
        self.next_revision.get().0 > revision.0 + 1
    }

    /// Sends a register to all voters, including those of the register's own membership, until a majority of that membership
    /// has persisted it.
    ///
    /// # Cancel safety
    /// A separate task sends the requests to each voter. Once the outcome is decided, the tasks of voters that lag behind
    /// are aborted after the timeout of one more request. If the caller is cancelled, the tasks continue until the voter
    /// answers or a later revision is assigned.
    pub(super) async fn replicate(self: &Rc<Self>, register: &Register) -> ReplicationOutcome {
        let mut voters = all_voters(&self.membership());
        voters.extend(all_voters(&register.membership));
        let (responses, mut received) = mpsc::unbounded_channel();
        let mut tasks = Vec::new();
        for voter in voters {
            let request = Rc::clone(self).request_accept(voter, register.clone(), responses.clone());
            tasks.push(tokio::task::spawn_local(request));
        }
        // The tasks hold the remaining senders, so the channel closes when the last task ends.
        drop(responses);
        let mut round = AcceptRound::start(register);
        let decision = async {
            while let Some((voter, response)) = received.recv().await {
                if let ControlFlow::Break(outcome) = round.record_response(voter, response) {
                    return Some(outcome);
                }
            }
            None
        };
        let outcome = timeout(REPLICATION_TIMEOUT, decision).await;
        tokio::task::spawn_local(async move {
            sleep(ACCEPT_TIMEOUT).await;
            tasks.iter().for_each(tokio::task::JoinHandle::abort);
        });
        match outcome {
            Ok(Some(AcceptOutcome::Committed)) => ReplicationOutcome::Committed,
            _ => ReplicationOutcome::Uncertain,
        }
    }

    /// Sends a register to one voter until the voter accepts or refuses it, or a later register supersedes it. Nothing is sent
    /// after the lease under the register's ballot has ended; the task then ends with the round.
    async fn request_accept(
        self: Rc<Self>,
        voter: SocketAddr,
        register: Register,
        responses: ResponseSender,
    ) {
        let (ballot, revision) = (register.ballot, register.revision);
        let request = VoteRequest::Accept { register };
        loop {
            if self.valid_lease(ballot).is_some() {
                match self.request_vote(voter, &request, ACCEPT_TIMEOUT).await {
                    Some(response) if matches!(response.vote, Vote::Accepted | Vote::Refused { .. }) => {
                        // The receiver is closed once the outcome is decided.
                        let _ = responses.send((voter, response));
                        return;
                    }
                    _ if self.is_superseded(revision) => return,
                    _ => {}
                }
            } else if responses.is_closed() {
                return;
            }
            sleep(PERSIST_RETRY_INTERVAL).await;
        }
    }
}

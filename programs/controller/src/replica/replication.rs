//! Replication of registers to a majority of the voters.
//!
//! Under one ballot registers form a chain: each is worked out on the last one that was proposed, so that a voter that has
//! accepted one has the changes of all before it.

use super::{PERSIST_RETRY_INTERVAL, Replica, ReplicationOutcome};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use vanewharf_consensus::{AcceptOutcome, AcceptRound, all_voters};
use vanewharf_protocol::messages::{Register, RegisterRank, Revision, Vote, VoteRequest, VoteResponse};

/// For one voter's response, which comes when its disk has the register.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2500);
/// A register that no majority has persisted by then is uncertain.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(5500);

/// Responses, with the voters that sent them.
type ResponseSender = mpsc::UnboundedSender<(SocketAddr, VoteResponse)>;

impl Replica {
    /// The register that the next one is worked out on: the last one that was proposed under the ballot of the lease, as it
    /// may come to be committed, or else the committed one.
    pub fn newest_register(&self) -> Register {
        let committed = self.publisher.store().register.as_deref().cloned().unwrap_or_else(Register::empty);
        let ballot = self.ballot();
        let proposed = self.proposed.borrow();
        let is_newer = |register: &&Register| register.ballot == ballot && register.rank() > committed.rank();
        proposed.as_ref().filter(is_newer).cloned().unwrap_or(committed)
    }

    /// Whether this is the committed register, and no other process can have replaced it.
    pub fn is_committed(&self, register: &Register) -> bool {
        let store = self.publisher.store();
        let committed = store.register.as_deref().map_or(RegisterRank::default(), Register::rank);
        self.holds_lease() && committed == register.rank()
    }

    /// Gives a register the lease's ballot and the next revision, and remembers it as proposed. `None` where this process
    /// does not hold the lease.
    pub fn propose(&self, register: Register) -> Option<Register> {
        let register = self.number_register(register)?;
        *self.proposed.borrow_mut() = Some(register.clone());
        Some(register)
    }

    /// Replicates a register that was proposed, and publishes it once it is committed.
    ///
    /// # Cancel safety
    /// Voters may persist a register whose replication is cancelled: it is uncertain then.
    pub async fn commit(self: &Rc<Self>, register: Register) -> ReplicationOutcome {
        let outcome = self.replicate(&register).await;
        let still_holds_lease = self.holds_lease() && self.ballot() == register.ballot;
        if outcome == ReplicationOutcome::Uncertain || !still_holds_lease {
            return ReplicationOutcome::Uncertain;
        }
        self.publisher.update(|store| store.set_register(Rc::new(register)));
        ReplicationOutcome::Committed
    }

    /// Commits a change of the newest register, without remembering it as proposed: one that is uncertain is not built on.
    /// For changes of the membership, with no other replication in flight.
    pub(super) async fn commit_change(
        self: &Rc<Self>,
        change: impl FnOnce(Register) -> Register,
    ) -> ReplicationOutcome {
        match self.number_register(change(self.newest_register())) {
            Some(register) => self.commit(register).await,
            None => ReplicationOutcome::Uncertain,
        }
    }

    fn number_register(&self, register: Register) -> Option<Register> {
        let lease = self.lease.get().filter(|_| self.holds_lease())?;
        let revision = self.next_revision.get();
        self.next_revision.set(Revision(revision.0 + 1));
        Some(Register { ballot: lease.ballot, revision, ..register })
    }

    /// Whether a later register was numbered under this lease.
    fn is_superseded(&self, revision: Revision) -> bool {
        self.next_revision.get().0 > revision.0 + 1
    }

    /// Sends a register to all voters, those of its own membership among them, until a majority of the latter has persisted
    /// it.
    ///
    /// # Cancel safety
    /// Each voter's requests are sent by a task of its own. Once the outcome is decided the tasks of voters that lag behind
    /// go on for one more request; where the caller is cancelled, until the voter answers or a later register is
    /// numbered.
    pub(super) async fn replicate(self: &Rc<Self>, register: &Register) -> ReplicationOutcome {
        let mut voters = all_voters(&self.membership());
        voters.extend(all_voters(&register.membership));
        let (responses, mut received) = mpsc::unbounded_channel();
        let mut requests = Vec::new();
        for voter in voters {
            let request = Rc::clone(self).request_accept(voter, register.clone(), responses.clone());
            requests.push(tokio::task::spawn_local(request));
        }
        // The tasks hold the remaining senders: the channel is closed when the last one ends.
        drop(responses);
        let mut round = AcceptRound::start(register);
        let deciding = async {
            while let Some((voter, response)) = received.recv().await {
                if let ControlFlow::Break(outcome) = round.record_response(voter, response) {
                    return Some(outcome);
                }
            }
            None
        };
        let outcome = timeout(REPLICATION_TIMEOUT, deciding).await;
        tokio::task::spawn_local(async move {
            sleep(ACCEPT_TIMEOUT).await;
            requests.iter().for_each(tokio::task::JoinHandle::abort);
        });
        match outcome {
            Ok(Some(AcceptOutcome::Committed)) => ReplicationOutcome::Committed,
            _ => ReplicationOutcome::Uncertain,
        }
    }

    /// Sends a register to one voter until that accepts or refuses it, or a later register makes it superfluous.
    async fn request_accept(
        self: Rc<Self>,
        voter: SocketAddr,
        register: Register,
        responses: ResponseSender,
    ) {
        let revision = register.revision;
        let request = VoteRequest::Accept { register };
        loop {
            match self.request_vote(voter, &request, ACCEPT_TIMEOUT).await {
                Some(response) if matches!(response.vote, Vote::Accepted | Vote::Refused { .. }) => {
                    // Nobody receives it once the outcome is decided.
                    let _ = responses.send((voter, response));
                    return;
                }
                _ if self.is_superseded(revision) => return,
                _ => sleep(PERSIST_RETRY_INTERVAL).await,
            }
        }
    }
}

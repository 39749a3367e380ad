//! Replication of registers to a majority.

use super::{PERSIST_RETRY_INTERVAL, Replica};
use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use vanewharf_consensus::all_voters;
use vanewharf_consensus::{AcceptOutcome, AcceptRound};
use vanewharf_protocol::messages::{Register, RegisterRank, Revision, Vote, VoteRequest};

/// For one that does, once.
const SLOW: Duration = Duration::from_millis(2500);
/// A register that is not kept by a majority by then is given up on.
const KEPT_BY: Duration = Duration::from_millis(5500);

impl Replica {
    /// Whether a majority of those that it names has it on disk; tried again and again until then, or the lease ends.
    pub(super) async fn kept(self: &Rc<Self>, register: &Register) -> bool {
        let named = all_voters(&register.membership);
        let voters: BTreeSet<_> = all_voters(&self.membership()).union(&named).copied().collect();
        let no = register.revision;
        let (said, mut votes) = mpsc::unbounded_channel();
        let mut trying = Vec::new();
        for &voter in &voters {
            let request = VoteRequest::Accept { register: register.clone() };
            let (replica, said) = (Rc::clone(self), said.clone());
            trying.push(tokio::task::spawn_local(async move {
                loop {
                    match replica.ask(voter, &request, SLOW).await {
                        // Where nobody counts any more it is known already.
                        Some(cast) if matches!(cast.vote, Vote::Accepted | Vote::Refused { .. }) => {
                            let _ = said.send((voter, cast));
                            return;
                        }
                        _ if replica.superseded(no) => return,
                        _ => sleep(PERSIST_RETRY_INTERVAL).await,
                    }
                }
            }));
        }
        drop(said);
        let mut keeping = AcceptRound::start(register);
        let counting = async {
            while let Some((voter, cast)) = votes.recv().await {
                if let ControlFlow::Break(outcome) = keeping.record_response(voter, cast) {
                    return outcome == AcceptOutcome::Committed;
                }
            }
            false
        };
        let carried = timeout(KEPT_BY, counting).await.unwrap_or(false);
        // Those that lag behind are told all the same, for as long as one more try lasts.
        tokio::task::spawn_local(async move {
            sleep(SLOW).await;
            trying.iter().for_each(tokio::task::JoinHandle::abort);
        });
        carried
    }

    /// What the next register is worked out on. Where one was proposed under the ballot in hand, that is in the way to a
    /// majority and may come to be in force: the next one holds what it changed.
    pub fn newest(&self) -> Register {
        let settled = self.feed.store().register.clone();
        let settled = settled.as_deref().cloned().unwrap_or_else(Register::empty);
        let ballot = self.ballot();
        let proposed = self.proposed.borrow();
        let newer = |register: &&Register| register.ballot == ballot && register.rank() > settled.rank();
        proposed.as_ref().filter(newer).cloned().unwrap_or(settled)
    }

    /// Whether it is what a majority has, and nobody else can have changed it since.
    pub fn certain(&self, register: &Register) -> bool {
        let store = self.feed.store();
        let settled = store.register.as_deref().map_or(RegisterRank::default(), Register::rank);
        self.holds() && settled == register.rank()
    }

    pub(super) fn numbered(&self, register: Register) -> Option<Register> {
        let term = self.term.get().filter(|_| self.holds())?;
        let no = self.next.get();
        self.next.set(Revision(no.0 + 1));
        Some(Register { ballot: term.ballot, revision: no, ..register })
    }

    /// Gives a register its number under the ballot in hand; it is to be kept now.
    pub fn propose(&self, register: Register) -> Option<Register> {
        let register = self.numbered(register)?;
        *self.proposed.borrow_mut() = Some(register.clone());
        Some(register)
    }

    /// Makes what was proposed the one in force; false where it is not certain to be.
    pub async fn keep(self: &Rc<Self>, register: Register) -> bool {
        if !self.kept(&register).await || !self.holds() || self.ballot() != register.ballot {
            return false;
        }
        self.feed.update(|store| store.set_register(Rc::new(register)));
        true
    }

    /// A later one was proposed, which holds all that this one does.
    pub(super) fn superseded(&self, no: Revision) -> bool {
        self.next.get().0 > no.0 + 1
    }

    /// Makes a register the one in force; false where it is not certain to be. For changes of the set of voters, with
    /// no round under way: one that is not certain is not worked on.
    pub async fn acknowledge(self: &Rc<Self>, change: impl FnOnce(&Register) -> Register) -> bool {
        match self.numbered(change(&self.newest())) {
            Some(register) => self.keep(register).await,
            None => false,
        }
    }
}

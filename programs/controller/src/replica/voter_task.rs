//! The task that owns the voter.

use super::{PERSIST_RETRY_INTERVAL, Replica};
use crate::storage::{Record, Storage};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use vanewharf_consensus::DurableWrite;
use vanewharf_protocol::messages::{Register, Vote, VoteRequest, VoteResponse};

/// What the voter's owner works through.
pub(super) enum Command {
    Hear(VoteRequest, oneshot::Sender<VoteResponse>),
    /// Quotas are divided by so many doors.
    Count(u32),
    /// What a holder has made known.
    Learn(Rc<Register>),
}

pub(super) type Commands = mpsc::UnboundedSender<Command>;

impl Replica {
    /// The voter hears one request after the other; what a vote promises is on disk before it is said.
    pub(super) async fn own(self: Rc<Self>, mut heard: mpsc::UnboundedReceiver<Command>, disk: Storage) {
        // Nothing is voted by what may be gone with the power.
        while let Err(error) = disk.confirm().await {
            spdlog::warn!("the folder cannot be synced: {}", error);
            sleep(PERSIST_RETRY_INTERVAL).await;
        }
        let mut waiting = VecDeque::new();
        loop {
            let command = match waiting.pop_front() {
                Some(command) => command,
                None => match heard.recv().await {
                    Some(command) => command,
                    None => return,
                },
            };
            let (vote_request, reply) = match command {
                Command::Hear(vote_request, reply) => (vote_request, reply),
                Command::Count(doors) => {
                    let save = self.voter.borrow_mut().update_quota_divisor(doors);
                    self.note(&disk, save, "the count of doors");
                    continue;
                }
                Command::Learn(register) => {
                    let save = self.voter.borrow().adopt_committed_register(&register);
                    self.note(&disk, save, "a register that is in force");
                    continue;
                }
            };
            let recovers = matches!(vote_request, VoteRequest::Recover { .. });
            let step = self.voter.borrow_mut().handle_vote_request(vote_request, self.now());
            let mut vote = step.vote;
            // Nobody's lease waits until a slow disk has taken what another one's recovery wants written down: what is
            // known counts at once, and is told when it is on disk.
            if let Some(save) = step.write.as_ref().filter(|_| recovers).cloned() {
                let (replica, disk) = (Rc::clone(&self), disk.clone());
                tokio::task::spawn_local(async move {
                    let kept = replica.kept_on(&disk, save).await;
                    let cast = replica.voter.borrow().response(if kept { vote } else { Vote::StorageFailed });
                    let _ = reply.send(cast);
                });
                continue;
            }
            if let Some(save) = step.write {
                let saving = self.kept_on(&disk, save);
                tokio::pin!(saving);
                // A lease that is renewed needs no disk.
                let kept = loop {
                    tokio::select! {
                        biased;
                        kept = &mut saving => break kept,
                        Some(command) = heard.recv() => waiting.extend(self.renewed(command)),
                    }
                };
                if !kept {
                    vote = Vote::StorageFailed;
                }
            }
            let cast = self.voter.borrow().response(vote);
            let _ = reply.send(cast);
        }
    }

    /// Whether the disk has it now.
    async fn kept_on(&self, disk: &Storage, save: DurableWrite) -> bool {
        match self.save(disk, &save).await {
            Ok(()) => self.voter.borrow_mut().mark_persisted(save),
            Err(error) => {
                spdlog::warn!("nothing is promised, as the disk takes nothing: {}", error);
                return false;
            }
        }
        true
    }

    /// Answers what asks for another term of a lease that is promised; whatever else it is has to wait.
    fn renewed(&self, command: Command) -> Option<Command> {
        let promised = self.voter.borrow().persisted_ballot();
        match command {
            Command::Hear(request @ VoteRequest::Renew { .. }, reply) if matches!(request, VoteRequest::Renew { ballot, .. } if Some(ballot) == promised) =>
            {
                let step = self.voter.borrow_mut().handle_vote_request(request, self.now());
                let _ = reply.send(self.voter.borrow().response(step.vote));
                None
            }
            command => Some(command),
        }
    }

    /// What nobody waits for.
    fn note(self: &Rc<Self>, disk: &Storage, save: Option<DurableWrite>, what: &'static str) {
        let Some(save) = save else {
            return;
        };
        let (replica, disk) = (Rc::clone(self), disk.clone());
        tokio::task::spawn_local(async move {
            match replica.save(&disk, &save).await {
                Ok(()) => replica.voter.borrow_mut().mark_persisted(save),
                Err(error) => spdlog::warn!("{} is not on disk: {}", what, error),
            }
        });
    }

    async fn save(&self, disk: &Storage, save: &DurableWrite) -> std::io::Result<()> {
        match save {
            DurableWrite::VoterRecord(promise) => disk.save(Record::Promise, promise).await,
            DurableWrite::Register(register) => disk.save(Record::Register, register).await,
        }
    }

    /// This process' own voter.
    pub async fn vote(&self, request: VoteRequest) -> VoteResponse {
        let (reply, cast) = oneshot::channel();
        if self.commands.send(Command::Hear(request, reply)).is_err() {
            return self.voter.borrow().response(Vote::StorageFailed);
        }
        cast.await.unwrap_or_else(|_| self.voter.borrow().response(Vote::StorageFailed))
    }

    /// Quotas are divided by so many doors: kept, so that a holder after the loss of all processes knows.
    pub fn count(&self, doors: u32) {
        if doors != self.voter.borrow().quota_divisor() {
            // The owner ends with the program only.
            let _ = self.commands.send(Command::Count(doors));
        }
    }

    /// What the holder made known is kept here too, where it is newer than what this disk has.
    pub fn adopt(&self) {
        let register = self.feed.store().register.clone();
        let newer = |register: &Rc<Register>| register.rank() > self.voter.borrow().register().rank();
        if let Some(register) = register.filter(newer) {
            // The owner ends with the program only.
            let _ = self.commands.send(Command::Learn(register));
        }
    }
}

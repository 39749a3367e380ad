//! The task that owns the order in which the voter handles requests.
//!
//! Requests are handled one after the other, and a vote is sent only once what it promises is on disk. Two kinds of request
//! do not wait for a disk that is slow: renewals of the lease that the voter has promised already, which need no write, and
//! everything while a recovery of another member is written, which is answered when that is done.

use super::record_writer::{PendingWrite, RecordWriter};
use super::{PERSIST_RETRY_INTERVAL, Replica};
use crate::storage::{Storage, StorageError};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use vanewharf_consensus::DurableWrite;
use vanewharf_protocol::messages::{Register, Vote, VoteRequest, VoteResponse};

/// What the task does.
pub(super) enum VoterCommand {
    HandleRequest {
        request: VoteRequest,
        reply: oneshot::Sender<VoteResponse>,
    },
    /// Persists by how many proxies quotas are divided.
    RecordProxyCount(u32),
    /// Persists a register that is known to be committed.
    PersistRegister(Rc<Register>),
}

/// Owns the commands that wait for the disk.
pub(super) struct VoterTask {
    replica: Rc<Replica>,
    writer: RecordWriter,
    /// Commands that were received while a vote was being persisted.
    deferred: VecDeque<VoterCommand>,
}

impl VoterTask {
    pub(super) fn new(replica: Rc<Replica>, storage: Storage) -> VoterTask {
        let writer = RecordWriter::new(Rc::clone(&replica), storage);
        VoterTask { replica, writer, deferred: VecDeque::new() }
    }

    pub(super) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<VoterCommand>) {
        self.sync_storage().await;
        while let Some(command) = self.next_command(&mut commands).await {
            match command {
                VoterCommand::HandleRequest { request, reply } => {
                    self.handle_request(request, reply, &mut commands).await;
                }
                VoterCommand::RecordProxyCount(proxy_count) => {
                    let write = self.replica.voter.borrow_mut().update_quota_divisor(proxy_count);
                    self.persist_in_background(write, "proxy count");
                }
                VoterCommand::PersistRegister(register) => {
                    let write = self.replica.voter.borrow_mut().adopt_committed_register(&register);
                    self.persist_in_background(write, "committed register");
                }
            }
        }
    }

    /// Nothing is voted by records that a loss of power could still take away.
    async fn sync_storage(&self) {
        while let Err(error) = self.writer.sync_found().await {
            spdlog::warn!(
                "fsync of the data directory failed; the voter does not start",
                kv: { event = "directory_sync_failed", error: }
            );
            sleep(PERSIST_RETRY_INTERVAL).await;
        }
    }

    async fn next_command(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<VoterCommand>,
    ) -> Option<VoterCommand> {
        match self.deferred.pop_front() {
            Some(command) => Some(command),
            None => commands.recv().await,
        }
    }

    async fn handle_request(
        &mut self,
        request: VoteRequest,
        reply: oneshot::Sender<VoteResponse>,
        commands: &mut mpsc::UnboundedReceiver<VoterCommand>,
    ) {
        let is_recovery = matches!(request, VoteRequest::Recover { .. });
        let now = self.replica.now();
        let output = self.replica.voter.borrow_mut().handle_vote_request(request, now);
        match output.write {
            None => self.replica.send_vote(output.vote, reply),
            Some(write) if is_recovery => {
                let pending = self.writer.write(write);
                self.reply_when_persisted(output.vote, pending, reply);
            }
            Some(write) => {
                let pending = self.writer.write(write);
                let persisted = self.wait_while_renewing(pending, commands).await;
                self.replica.send_vote(vote_if_persisted(output.vote, persisted), reply);
            }
        }
    }

    /// What a recovering member makes known counts at once, and is answered when it is on disk. The lease does not wait for
    /// that.
    fn reply_when_persisted(&self, vote: Vote, write: PendingWrite, reply: oneshot::Sender<VoteResponse>) {
        let replica = Rc::clone(&self.replica);
        tokio::task::spawn_local(async move {
            let persisted = write.wait().await;
            replica.send_vote(vote_if_persisted(vote, persisted), reply);
        });
    }

    /// Waits for a write. Meanwhile renewals are answered, and all other commands are deferred.
    async fn wait_while_renewing(
        &mut self,
        write: PendingWrite,
        commands: &mut mpsc::UnboundedReceiver<VoterCommand>,
    ) -> Result<(), StorageError> {
        let persisting = write.wait();
        tokio::pin!(persisting);
        loop {
            // Cancel safety: `persisting` is polled by reference and goes on in the next iteration; `recv` loses no command
            // where the other branch is taken.
            tokio::select! {
                biased;
                persisted = &mut persisting => return persisted,
                Some(command) = commands.recv() => {
                    self.deferred.extend(self.replica.answer_renewal(command));
                }
            }
        }
    }

    /// Persists what no vote depends on.
    fn persist_in_background(&mut self, write: Option<DurableWrite>, what: &'static str) {
        let Some(write) = write else {
            return;
        };
        let pending = self.writer.write(write);
        tokio::task::spawn_local(async move {
            if let Err(error) = pending.wait().await {
                spdlog::warn!(
                    "a record cannot be written to disk; it is written with the next vote or update",
                    kv: { event = "record_persist_failed", record = what, error: }
                );
            }
        });
    }
}

/// A vote that is not on disk must not be sent.
fn vote_if_persisted(vote: Vote, persisted: Result<(), StorageError>) -> Vote {
    match persisted {
        Ok(()) => vote,
        Err(error) => {
            spdlog::warn!(
                "write or fsync of a vote's record failed; the vote is not sent",
                kv: { event = "vote_persist_failed", error: }
            );
            Vote::StorageFailed
        }
    }
}

impl Replica {
    /// This process' vote.
    ///
    /// # Cancel safety
    /// A request that was queued is handled also where the caller stops waiting: its promise holds.
    pub async fn handle_vote_request(&self, request: VoteRequest) -> VoteResponse {
        let (reply, response) = oneshot::channel();
        // Sending or receiving fails only when the voter task has ended.
        let command = VoterCommand::HandleRequest { request, reply };
        if self.voter_commands.send(command).is_err() {
            return self.unable_response();
        }
        response.await.unwrap_or_else(|_| self.unable_response())
    }

    fn unable_response(&self) -> VoteResponse {
        self.voter.borrow().response(Vote::StorageFailed)
    }

    /// Persists by how many proxies quotas are divided, so that a leaseholder after the loss of all processes knows.
    pub fn record_proxy_count(&self, proxy_count: u32) {
        if proxy_count != self.voter.borrow().quota_divisor() {
            // The voter task ends with the program only.
            let _ = self.voter_commands.send(VoterCommand::RecordProxyCount(proxy_count));
        }
    }

    /// Persists the register that the leaseholder has published, where it is newer than the one on this disk.
    pub fn persist_published_register(&self) {
        let register = self.publisher.store().register.clone();
        let is_newer = |register: &Rc<Register>| register.rank() > self.voter.borrow().register().rank();
        if let Some(register) = register.filter(is_newer) {
            // The voter task ends with the program only.
            let _ = self.voter_commands.send(VoterCommand::PersistRegister(register));
        }
    }

    /// Answers the renewal of a lease whose ballot is promised on disk, and gives back any other command.
    fn answer_renewal(&self, command: VoterCommand) -> Option<VoterCommand> {
        let persisted_ballot = self.voter.borrow().persisted_ballot();
        match command {
            VoterCommand::HandleRequest { request: request @ VoteRequest::Renew { ballot, .. }, reply }
                if Some(ballot) == persisted_ballot =>
            {
                let output = self.voter.borrow_mut().handle_vote_request(request, self.now());
                self.send_vote(output.vote, reply);
                None
            }
            command => Some(command),
        }
    }

    /// Whoever stopped waiting needs no vote.
    fn send_vote(&self, vote: Vote, reply: oneshot::Sender<VoteResponse>) {
        let _ = reply.send(self.voter.borrow().response(vote));
    }
}

#[cfg(test)]
mod random_schedules_tests;
#[cfg(test)]
mod tests;

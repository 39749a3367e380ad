//! The task that serializes the requests to the voter.
//!
//! Requests are handled sequentially, and a vote is sent only after its promise is on disk. There are two exceptions, so
//! that a slow disk does not end the lease. While a vote is being written, renewals under a ballot that is already on disk
//! are answered at once, since they need no write. While the recovery of another member is being written, further requests
//! are handled; the recovery itself is answered when its write completes.

use super::record_writer::{PendingWrite, RecordWriter};
use super::{PERSIST_RETRY_INTERVAL, Replica};
use crate::storage::{Storage, StorageError};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use vanewharf_consensus::DurableWrite;
use vanewharf_protocol::messages::{Register, Vote, VoteRequest, VoteResponse};

/// A command for the voter task.
pub(super) enum VoterCommand {
    HandleRequest {
        request: VoteRequest,
        reply: oneshot::Sender<VoteResponse>,
    },
    /// Persists the number of proxies by which quotas are divided.
    RecordQuotaDivisor(u32),
    /// Persists a register that the leaseholder has published as committed.
    PersistRegister(Rc<Register>),
}

/// State of the voter task.
pub(super) struct VoterTask {
    replica: Rc<Replica>,
    writer: RecordWriter,
    /// Commands received while a vote is being persisted, in the order of their arrival.
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
                VoterCommand::RecordQuotaDivisor(quota_divisor) => {
                    let write = self.replica.voter.borrow_mut().update_quota_divisor(quota_divisor);
                    self.persist_in_background(write, "proxy count");
                }
                VoterCommand::PersistRegister(register) => {
                    let write = self.replica.voter.borrow_mut().adopt_committed_register(&register);
                    self.persist_in_background(write, "committed register");
                }
            }
        }
    }

    /// Syncs the loaded records, and retries until that succeeds. The voter must not vote on the basis of records that a
    /// power loss could still revert.
    async fn sync_storage(&self) {
        while let Err(error) = self.writer.sync_loaded().await {
            spdlog::warn!(
                "fsync of the data directory failed; the voter does not vote until a retry succeeds",
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
                let persisted = self.wait_answering_renewals(pending, commands).await;
                self.replica.send_vote(vote_if_persisted(output.vote, persisted), reply);
            }
        }
    }

    /// Answers a recovery request when its write completes. The recovering member's new incarnation is in effect already,
    /// and the voter goes on to handle other requests, so that the write does not delay the renewal of the lease.
    fn reply_when_persisted(&self, vote: Vote, write: PendingWrite, reply: oneshot::Sender<VoteResponse>) {
        let replica = Rc::clone(&self.replica);
        tokio::task::spawn_local(async move {
            let persisted = write.wait().await;
            replica.send_vote(vote_if_persisted(vote, persisted), reply);
        });
    }

    /// Waits for a write. In the meantime it answers lease renewals and defers all other commands.
    async fn wait_answering_renewals(
        &mut self,
        write: PendingWrite,
        commands: &mut mpsc::UnboundedReceiver<VoterCommand>,
    ) -> Result<(), StorageError> {
        let persisting = write.wait();
        tokio::pin!(persisting);
        loop {
            // Cancel safety: `persisting` is polled by reference and continues in the next iteration; `recv` loses no
            // command if the other branch is taken.
            tokio::select! {
                biased;
                persisted = &mut persisting => return persisted,
                Some(command) = commands.recv() => {
                    self.deferred.extend(self.replica.answer_renewal(command));
                }
            }
        }
    }

    /// Requests a write that no vote depends on, without waiting for it. `record_name` is used in the log.
    fn persist_in_background(&mut self, write: Option<DurableWrite>, record_name: &'static str) {
        let Some(write) = write else {
            return;
        };
        let pending = self.writer.write(write);
        tokio::task::spawn_local(async move {
            if let Err(error) = pending.wait().await {
                spdlog::warn!(
                    "writing a record to disk failed; it will be written with the next vote or update",
                    kv: { event = "record_persist_failed", record = record_name, error: }
                );
            }
        });
    }
}

/// Replaces a vote by [`Vote::StorageFailed`] if it could not be persisted: a vote that is not on disk must not be sent.
fn vote_if_persisted(vote: Vote, persisted: Result<(), StorageError>) -> Vote {
    match persisted {
        Ok(()) => vote,
        Err(error) => {
            spdlog::warn!(
                "writing or syncing the voter record failed; the vote is not sent",
                kv: { event = "vote_persist_failed", error: }
            );
            Vote::StorageFailed
        }
    }
}

impl Replica {
    /// Passes a request to the voter task and returns the vote.
    ///
    /// # Cancel safety
    /// A queued request is handled even if the caller is cancelled; the promise made by its vote is then still binding.
    pub async fn handle_vote_request(&self, request: VoteRequest) -> VoteResponse {
        let (reply, response) = oneshot::channel();
        // Sending or receiving fails only if the voter task has ended.
        let command = VoterCommand::HandleRequest { request, reply };
        if self.voter_commands.send(command).is_err() {
            return self.storage_failed_response();
        }
        response.await.unwrap_or_else(|_| self.storage_failed_response())
    }

    fn storage_failed_response(&self) -> VoteResponse {
        self.voter.borrow().response(Vote::StorageFailed)
    }

    /// Persists the number of proxies by which quotas are divided, so that a leaseholder elected after all processes were
    /// lost can read it.
    pub fn record_quota_divisor(&self, quota_divisor: u32) {
        if quota_divisor != self.voter.borrow().quota_divisor() {
            // Sending cannot fail: the voter task runs until the program exits.
            let _ = self.voter_commands.send(VoterCommand::RecordQuotaDivisor(quota_divisor));
        }
    }

    /// Persists the register published by the leaseholder if it is newer than the one on the local disk.
    pub fn persist_published_register(&self) {
        let register = self.publisher.store().register.clone();
        let is_newer = |register: &Rc<Register>| register.rank() > self.voter.borrow().register().rank();
        if let Some(register) = register.filter(is_newer) {
            // Sending cannot fail: the voter task runs until the program exits.
            let _ = self.voter_commands.send(VoterCommand::PersistRegister(register));
        }
    }

    /// Answers a renewal under the promised ballot if that ballot is on disk. Returns any other command unhandled.
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

    /// Sends a vote. A failure to send is ignored, since it means that the caller has stopped waiting.
    fn send_vote(&self, vote: Vote, reply: oneshot::Sender<VoteResponse>) {
        let _ = reply.send(self.voter.borrow().response(vote));
    }
}

#[cfg(test)]
mod random_schedules_tests;
#[cfg(test)]
mod tests;

//! What clients, backends and operators observed in a run; the checker judges by this alone.

use crate::configuration::TenantQuota;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// One execution of a request at a backend.
#[derive(Clone, Debug)]
pub struct Execution {
    /// When the backend executed it.
    pub at: Instant,
    /// When the client sent it.
    pub sent: Instant,
    /// The client's id of it.
    pub attempt: u64,
    /// Whether it must not be executed twice.
    pub mutating: bool,
    /// The backend's id.
    pub backend: String,
    /// The tenant that the proxy named.
    pub tenant: String,
    /// The access key that the client sent.
    pub access_key: String,
    /// The proxy that forwarded it.
    pub proxy: usize,
    /// The proxy's configuration revision.
    pub revision: u64,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When it was sent.
    pub sent: Instant,
    /// The proxy that it was sent to.
    pub proxy: usize,
    /// That proxy's configuration revision.
    pub revision: u64,
    /// The client's id of it.
    pub attempt: u64,
    /// `None` where it was never answered.
    pub status: Option<u16>,
    /// From sending to the response.
    pub latency: Duration,
}

/// What an operator commands.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Put this configuration in force.
    ReplaceConfiguration {
        /// Its revision.
        revision: u64,
        /// Its text.
        body: String,
    },
    /// Begin the evacuation of a zone.
    BeginEvacuation(String),
    /// End the evacuation of a zone.
    FinishEvacuation(String),
    /// Put an invalid configuration in force.
    Invalid {
        /// Its revision.
        revision: u64,
    },
    /// Replace a voter by another machine.
    ReplaceVoter {
        /// The voter that is replaced.
        outgoing: usize,
        /// The machine that takes its place.
        incoming: usize,
    },
}

impl Command {
    /// The zone whose evacuation it begins or ends.
    pub fn zone(&self) -> Option<&str> {
        match self {
            Command::BeginEvacuation(zone) | Command::FinishEvacuation(zone) => Some(zone),
            _ => None,
        }
    }

    /// The revision of the valid configuration that it puts in force.
    pub fn revision(&self) -> Option<u64> {
        match self {
            Command::ReplaceConfiguration { revision, .. } => Some(*revision),
            _ => None,
        }
    }
}

/// How a controller answered one attempt to send a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// This status came.
    Answered(u16),
    /// An acknowledgement was lost on its way to the operator.
    AcknowledgementLost,
    /// No answer came in time, or none that could be followed.
    Unanswered,
}

/// The texts of a run's events.
impl fmt::Display for AttemptResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptResult::Answered(status) => write!(formatter, "{status}"),
            AttemptResult::AcknowledgementLost => formatter.write_str("200, lost on its way"),
            AttemptResult::Unanswered => formatter.write_str("no answer"),
        }
    }
}

/// One attempt to send a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandAttempt {
    /// When it was sent.
    pub sent: Instant,
    /// When its result was known.
    pub ended: Instant,
    /// The machine number of the controller that was asked first; it may have redirected the operator.
    pub controller: usize,
    /// What came of it.
    pub result: AttemptResult,
}

/// A command as its operator saw it.
#[derive(Clone, Debug)]
pub struct CommandRecord {
    /// What was commanded.
    pub command: Command,
    /// When it was first sent.
    pub sent: Instant,
    /// When the operator got the acknowledgement.
    pub acknowledged: Option<Instant>,
    /// When an acknowledgement was first lost on its way to the operator, who sent the command again.
    pub acknowledgement_lost: Option<Instant>,
    /// The status with which it was rejected.
    pub rejected: Option<u16>,
    /// In the order in which they were sent.
    pub attempts: Vec<CommandAttempt>,
}

impl CommandRecord {
    /// Whether the operator had the acknowledgement before that time.
    pub fn is_acknowledged_before(&self, time: Instant) -> bool {
        self.acknowledged.is_some_and(|at| at < time)
    }

    /// A command that has just been sent.
    pub fn new(command: Command, sent: Instant) -> CommandRecord {
        CommandRecord {
            command,
            sent,
            acknowledged: None,
            acknowledgement_lost: None,
            rejected: None,
            attempts: Vec::new(),
        }
    }

    /// When it was first acknowledged, whether the operator got that or not.
    pub fn confirmed(&self) -> Option<Instant> {
        [self.acknowledgement_lost, self.acknowledged].into_iter().flatten().min()
    }
}

/// A configuration that an operator read back.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationRead {
    /// When the request was sent.
    pub sent: Instant,
    /// When the response was received.
    pub received: Instant,
    /// The response's body.
    pub text: String,
}

/// What a controller has in force.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaVersion {
    /// The register's revision.
    pub register: u64,
    /// The configuration's revision.
    pub configuration: u64,
}

/// As a pair: the text of violations.
impl fmt::Debug for ReplicaVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.register, self.configuration).fmt(formatter)
    }
}

/// What a controller had at the end of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalState {
    /// The controller's name.
    pub controller: String,
    /// When that was requested.
    pub requested_at: Instant,
    /// `None` where it did not answer.
    pub version: Option<ReplicaVersion>,
}

/// A register that a proxy received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRegister {
    /// The proxy.
    pub proxy: usize,
    /// The start of the proxy's process that received it.
    pub incarnation: u64,
    /// When it was received.
    pub at: Instant,
    /// The register's revision.
    pub register: u64,
    /// The configuration's revision.
    pub configuration: u64,
    /// A hash of everything that the register says.
    pub digest: u64,
}

/// Everything that was observed in a run.
#[derive(Default)]
pub struct History {
    /// In the order in which backends executed them.
    pub executions: Vec<Execution>,
    /// By the client's id.
    pub requests: BTreeMap<u64, ClientRequest>,
    /// In the order in which they were first sent.
    pub commands: Vec<CommandRecord>,
    /// In the order in which they were received.
    pub received_registers: Vec<ReceivedRegister>,
    /// Programs that ended by themselves, each with the reason.
    pub exits: Vec<String>,
    /// Times at which more than one controller held the lease.
    pub dual_leases: Vec<Instant>,
    /// Each tenant's quota by configuration revision.
    pub quotas: BTreeMap<u64, BTreeMap<String, TenantQuota>>,
    /// The access keys by configuration revision.
    pub access_keys: BTreeMap<u64, BTreeSet<String>>,
    /// The last configuration that an operator read, after all operators had stopped.
    pub final_configuration: Option<ConfigurationRead>,
    /// The evacuated zones that the newest register has at the end.
    pub final_evacuations: Option<BTreeSet<String>>,
    /// Configurations that operators read, during the run and at its end.
    pub configuration_reads: Vec<ConfigurationRead>,
    /// What each controller that ran had at the end.
    pub final_states: Vec<FinalState>,
}

impl History {
    /// The newest configuration that was acknowledged before that time, or 0: only this is owed to who asks then.
    pub fn newest_acknowledged_before(&self, time: Instant) -> u64 {
        let acknowledged = self.commands.iter().filter(|record| record.is_acknowledged_before(time));
        acknowledged.filter_map(|record| record.command.revision()).max().unwrap_or(0)
    }
}

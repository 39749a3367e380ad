//! What clients, backends and operators observed in a run. The checker decides by these observations.

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
    /// The client's id of the request.
    pub attempt: u64,
    /// Whether it must not be executed twice.
    pub mutating: bool,
    /// The backend's id.
    pub backend: String,
    /// The tenant that the proxy named in its request to the backend.
    pub tenant: String,
    /// The access key that the client sent.
    pub access_key: String,
    /// The proxy that forwarded it.
    pub proxy: usize,
    /// The proxy's configuration revision.
    pub revision: u64,
}

/// A request from its client's point of view.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When it was sent.
    pub sent: Instant,
    /// The proxy that it was sent to.
    pub proxy: usize,
    /// That proxy's configuration revision.
    pub revision: u64,
    /// The client's id of the request.
    pub attempt: u64,
    /// The status of the response; `None` if there was none.
    pub status: Option<u16>,
    /// The time from sending the request to the response.
    pub latency: Duration,
}

/// A command that an operator sends to controllers.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replaces the configuration.
    ReplaceConfiguration {
        /// Its revision.
        revision: u64,
        /// Its text.
        body: String,
    },
    /// Begins the evacuation of a zone.
    BeginEvacuation(String),
    /// Ends the evacuation of a zone.
    FinishEvacuation(String),
    /// Replaces the configuration by an invalid one, which controllers must reject.
    Invalid {
        /// Its revision.
        revision: u64,
    },
    /// Replaces a voter by another machine.
    ReplaceVoter {
        /// The voter that is replaced.
        outgoing: usize,
        /// The machine that takes its place.
        incoming: usize,
    },
}

impl Command {
    /// The zone whose evacuation the command begins or ends.
    pub fn zone(&self) -> Option<&str> {
        match self {
            Command::BeginEvacuation(zone) | Command::FinishEvacuation(zone) => Some(zone),
            _ => None,
        }
    }

    /// The revision of the configuration that the command sends, if it is valid.
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
    /// The controller answered with this status.
    Answered(u16),
    /// The controller acknowledged the command, but the acknowledgement did not reach the operator.
    AcknowledgementLost,
    /// No response came in time, or it was a redirection that could not be followed.
    Unanswered,
}

/// The texts in the descriptions of violations.
impl fmt::Display for AttemptResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptResult::Answered(status) => write!(formatter, "{status}"),
            AttemptResult::AcknowledgementLost => formatter.write_str("200, lost before the operator got it"),
            AttemptResult::Unanswered => formatter.write_str("no response"),
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
    /// Its result.
    pub result: AttemptResult,
}

/// A command from its operator's point of view.
#[derive(Clone, Debug)]
pub struct CommandRecord {
    /// The command.
    pub command: Command,
    /// When it was first sent.
    pub sent: Instant,
    /// When the operator got the acknowledgement.
    pub acknowledged: Option<Instant>,
    /// When an acknowledgement was first lost on its way to the operator, who sent the command again.
    pub acknowledgement_lost: Option<Instant>,
    /// The status with which it was rejected, if it was.
    pub rejected: Option<u16>,
    /// All attempts, in the order in which they were sent.
    pub attempts: Vec<CommandAttempt>,
}

impl CommandRecord {
    /// Whether the operator got the acknowledgement before that time.
    pub fn is_acknowledged_before(&self, time: Instant) -> bool {
        self.acknowledged.is_some_and(|at| at < time)
    }

    /// Creates the record of a command that is sent now.
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

    /// When a controller first acknowledged the command, whether or not the operator got the acknowledgement.
    pub fn first_acknowledged_at(&self) -> Option<Instant> {
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

/// The revisions that a controller has in force.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaVersion {
    /// The register's revision.
    pub register: u64,
    /// The configuration's revision.
    pub configuration: u64,
}

/// Formats the revisions as a pair, for the descriptions of violations.
impl fmt::Debug for ReplicaVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.register, self.configuration).fmt(formatter)
    }
}

/// The state of a controller at the end of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalState {
    /// The controller's name.
    pub controller: String,
    /// When its state was requested.
    pub requested_at: Instant,
    /// The revisions that it had in force; `None` if it did not respond.
    pub version: Option<ReplicaVersion>,
}

/// A register that a proxy received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRegister {
    /// The proxy.
    pub proxy: usize,
    /// The incarnation of the proxy's process that received it.
    pub incarnation: u64,
    /// When it was received.
    pub at: Instant,
    /// The register's revision.
    pub register: u64,
    /// The configuration's revision.
    pub configuration: u64,
    /// A hash of the register's content.
    pub digest: u64,
}

/// Everything that was observed in a run.
#[derive(Default)]
pub struct History {
    /// Executions in the order in which backends began them.
    pub executions: Vec<Execution>,
    /// Clients' requests by the client's id.
    pub requests: BTreeMap<u64, ClientRequest>,
    /// Operators' commands in the order in which they were first sent.
    pub commands: Vec<CommandRecord>,
    /// Registers in the order in which proxies received them.
    pub received_registers: Vec<ReceivedRegister>,
    /// Programs that exited without being killed, each with the reason.
    pub exits: Vec<String>,
    /// Times at which more than one controller held the lease.
    pub dual_leases: Vec<Instant>,
    /// Each tenant's quota by configuration revision.
    pub quotas: BTreeMap<u64, BTreeMap<String, TenantQuota>>,
    /// The access keys by configuration revision.
    pub access_keys: BTreeMap<u64, BTreeSet<String>>,
    /// The last configuration that an operator read, after all operators had stopped.
    pub final_configuration: Option<ConfigurationRead>,
    /// The evacuated zones in the newest register at the end.
    pub final_evacuations: Option<BTreeSet<String>>,
    /// Configurations that operators read, during the run and at its end.
    pub configuration_reads: Vec<ConfigurationRead>,
    /// The state of each running controller at the end.
    pub final_states: Vec<FinalState>,
}

impl History {
    /// The newest configuration revision that was acknowledged before that time, or 0. A read that is sent at that
    /// time must not return an older revision.
    pub fn newest_acknowledged_before(&self, time: Instant) -> u64 {
        let acknowledged = self.commands.iter().filter(|record| record.is_acknowledged_before(time));
        acknowledged.filter_map(|record| record.command.revision()).max().unwrap_or(0)
    }
}

//! Schedules of operator commands and faults, generated from a seed ([`stress`]) or read from a TOML file
//! ([`mod@file`]).
//!
//! The `Display` implementations produce the event lines of a run's report.

pub mod file;
pub mod stress;

use crate::disk::{DiskCondition, UnsyncedData};
use crate::topology::SimulationParameters;
use std::fmt;

/// Selects a machine by its number, or by its role at the time at which the command or fault is executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineSelector {
    /// The machine with this number.
    Number(usize),
    /// The controller that holds the lease.
    Leaseholder,
    /// The first active controller that does not hold the lease.
    Follower,
}

impl fmt::Display for MachineSelector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MachineSelector::Number(number) => write!(formatter, "No({number})"),
            MachineSelector::Leaseholder => formatter.write_str("Holder"),
            MachineSelector::Follower => formatter.write_str("Follower"),
        }
    }
}

/// An operator command whose revision and machines are not resolved yet.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandTemplate {
    /// Replace the configuration.
    Replace {
        /// Number of routes in addition to those that every configuration has.
        extra_routes: usize,
        /// Whether the new configuration revokes an access key.
        revoke_key: bool,
        /// Number of different bodies that are sent concurrently under the same revision.
        bodies: usize,
    },
    /// Begin the evacuation of a zone.
    BeginEvacuation(String),
    /// End the evacuation of a zone.
    FinishEvacuation(String),
    /// Replace a voter by another controller.
    ReplaceVoter {
        /// The voter to be replaced.
        outgoing: MachineSelector,
        /// The machine that takes its place.
        incoming: MachineSelector,
    },
    /// Send an invalid configuration.
    Invalid,
}

impl fmt::Display for CommandTemplate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandTemplate::Replace { extra_routes, revoke_key, bodies } => write!(
                formatter,
                "Replace {{ routes: {extra_routes}, fewer_keys: {revoke_key}, bodies: {bodies} }}"
            ),
            CommandTemplate::BeginEvacuation(zone) => {
                write!(formatter, "Evacuate {{ zone: {zone:?}, begin: true }}")
            }
            CommandTemplate::FinishEvacuation(zone) => {
                write!(formatter, "Evacuate {{ zone: {zone:?}, begin: false }}")
            }
            CommandTemplate::ReplaceVoter { outgoing, incoming } => {
                write!(formatter, "Voters {{ out: {outgoing}, into: {incoming} }}")
            }
            CommandTemplate::Invalid => formatter.write_str("Invalid"),
        }
    }
}

/// A command and when it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCommand {
    /// Seconds from the start of the run.
    pub at: f64,
    /// The command that is sent.
    pub command: CommandTemplate,
    /// Seconds after its acknowledgement at which the command is sent again; `None`: it is sent once.
    pub repeat_after: Option<f64>,
}

/// The effect of a fault on the machines that it is scheduled for.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Their programs are killed, and started again when the fault ends.
    Kill,
    /// They lose power, with this effect on data that was not synced.
    PowerLoss(UnsyncedData),
    /// They lose power and all data on their disks.
    DiskLoss,
    /// They lose power, and their disks are reset to their content at the fault's scheduled time, which drops synced
    /// data too. The system cannot tolerate this fault; tests use it to verify that the checker detects the data loss.
    DiskRollback,
    /// Their programs are suspended, and resume when the fault ends.
    Freeze,
    /// Their programs are requested to shut down, and started again when the fault ends.
    Shutdown,
    /// They and these proxies cannot exchange messages with any other machine.
    Partition {
        /// Machine numbers of the proxies.
        proxies: Vec<usize>,
    },
    /// Messages from them to all other machines are lost.
    OutboundCut,
    /// Messages to them from all other machines are lost.
    InboundCut,
    /// Their disks are slow, hang, or are full.
    Disk(DiskCondition),
    /// Their outbound bandwidth is limited to this many bytes per second.
    SlowLink(u64),
    /// They are shut down and removed permanently; a spare controller with another address is added.
    Replacement {
        /// Machine number of the spare controller.
        new: usize,
    },
    /// All machines, proxies and spares included, lose power; the selected machines also lose all data on their disks.
    Blackout(UnsyncedData),
    /// They and the other controllers cannot reach each other; all other machines can reach both sides.
    ControllerSplit,
    /// A proxy cannot exchange messages with the controllers.
    ProxyCut {
        /// Its machine number.
        proxy: usize,
    },
    /// A proxy and its agent are killed, and started again when the fault ends.
    ProxyKill {
        /// Its machine number.
        proxy: usize,
    },
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::Kill => formatter.write_str("Kill"),
            FaultKind::PowerLoss(unsynced) => write!(formatter, "Power({unsynced})"),
            FaultKind::DiskLoss => formatter.write_str("Wipe"),
            FaultKind::DiskRollback => formatter.write_str("Rollback"),
            FaultKind::Freeze => formatter.write_str("Freeze"),
            FaultKind::Shutdown => formatter.write_str("Term"),
            FaultKind::Partition { proxies } => write!(formatter, "Cut {{ doors: {proxies:?} }}"),
            FaultKind::OutboundCut => formatter.write_str("Unheard"),
            FaultKind::InboundCut => formatter.write_str("Deaf"),
            FaultKind::Disk(condition) => write!(formatter, "Disk({condition})"),
            FaultKind::SlowLink(bytes_per_second) => write!(formatter, "Narrow({bytes_per_second})"),
            FaultKind::Replacement { new } => write!(formatter, "Gone {{ new: {new} }}"),
            FaultKind::Blackout(UnsyncedData::Lost) => formatter.write_str("Blackout"),
            FaultKind::Blackout(unsynced) => write!(formatter, "Blackout({unsynced})"),
            FaultKind::ControllerSplit => formatter.write_str("Split"),
            FaultKind::ProxyCut { proxy } => write!(formatter, "DoorCut {{ door: {proxy} }}"),
            FaultKind::ProxyKill { proxy } => write!(formatter, "DoorKill {{ door: {proxy} }}"),
        }
    }
}

/// The event at which a scheduled fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTrigger {
    /// The fault begins at its scheduled time.
    Time,
    /// The fault begins when an operator receives the next acknowledgement after the scheduled time.
    NextAcknowledgement,
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Seconds from the start of the run.
    pub at: f64,
    /// Duration in seconds.
    pub span: f64,
    /// The effect of the fault.
    pub kind: FaultKind,
    /// The affected machines.
    pub machines: Vec<MachineSelector>,
    /// Seed nodes with which the affected machines start again, or with which a replacement starts. If empty, a machine
    /// keeps those that an earlier fault gave it, or else gets the first active controllers.
    pub seeds: Vec<MachineSelector>,
    /// The event at which it begins.
    pub trigger: FaultTrigger,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:6.2} s  {} [{}]", self.at, self.kind, joined(&self.machines))?;
        if !self.seeds.is_empty() {
            write!(formatter, ", seeds [{}]", joined(&self.seeds))?;
        }
        if self.trigger == FaultTrigger::NextAcknowledgement {
            formatter.write_str(", after an acknowledgement")?;
        }
        write!(formatter, ", for {:.2} s", self.span)
    }
}

fn joined(selectors: &[MachineSelector]) -> String {
    selectors.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

/// The parameters, commands and faults of a scheduled run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The name under which the run is reported.
    pub name: String,
    /// Seeds the random choices that the schedule leaves open.
    pub seed: u64,
    /// The cluster's size and the run's length.
    pub parameters: SimulationParameters,
    /// Number of spare controllers that a replacement may add.
    pub spares: usize,
    /// Maximum relative deviation of a machine's clock rate from real time; 0.05 is 5 % fast or slow.
    pub clock_drift: f64,
    /// Probability with which an acknowledgement to an operator is lost.
    pub acknowledgement_loss: f64,
    /// Whether the latencies of disk operations and messages vary widely, so that they complete out of order.
    pub erratic: bool,
    /// Commands that operators send.
    pub commands: Vec<ScheduledCommand>,
    /// Faults that are injected.
    pub faults: Vec<ScheduledFault>,
}

//! A schedule of commands and faults: drawn from a seed ([`hard`]) or read from a file ([`mod@file`]).
//!
//! The `Display` texts of its parts are the lines of a run's events.

pub mod file;
pub mod hard;

use crate::disk::{DiskCondition, UnsyncedData};
use crate::topology::SimulationParameters;
use std::fmt;

/// A controller, by number or by what it does when the schedule gets there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineSelector {
    /// This machine.
    Number(usize),
    /// The leaseholder.
    Leaseholder,
    /// The first of the operators' list that does not hold the lease.
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

/// What an operator is to command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandTemplate {
    /// Replace the configuration.
    Replace {
        /// Routes besides those that every configuration has.
        extra_routes: usize,
        /// Whether an access key is revoked by it.
        revoke_key: bool,
        /// How many different bodies of one revision are sent at the same time.
        bodies: usize,
    },
    /// Begin the evacuation of a zone.
    BeginEvacuation(String),
    /// End the evacuation of a zone.
    FinishEvacuation(String),
    /// Replace a voter.
    ReplaceVoter {
        /// The voter that is replaced.
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
    /// What is commanded.
    pub command: CommandTemplate,
    /// How many seconds after its acknowledgement it is sent once more, if at all.
    pub repeat_after: Option<f64>,
}

/// What a fault does to the machines that it is scheduled for.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// They are killed and started again.
    Kill,
    /// They lose power.
    PowerLoss(UnsyncedData),
    /// They lose power and their disks.
    DiskLoss,
    /// They lose power, and their disks what was written since the fault's time, synced or not: more than a system can
    /// bear, to show that the checker sees it.
    DiskRollback,
    /// Their programs stop where they are.
    Freeze,
    /// They are asked to shut down, and started again.
    Shutdown,
    /// They and these proxies are cut off from all others.
    Partition {
        /// Machine numbers of proxies.
        proxies: Vec<usize>,
    },
    /// What they send is lost.
    OutboundCut,
    /// What is sent to them is lost.
    InboundCut,
    /// Their disks do not work as they should.
    Disk(DiskCondition),
    /// They send this many bytes per second at most.
    SlowLink(u64),
    /// They are shut down and removed for good; a spare comes at another address.
    Replacement {
        /// Machine number of the spare.
        new: usize,
    },
    /// All machines lose power, also proxies and spares; these also their disks.
    Blackout(UnsyncedData),
    /// They cannot reach the other controllers; all other machines reach both sides.
    ControllerSplit,
    /// A proxy is cut off from the controllers.
    ProxyCut {
        /// Its machine number.
        proxy: usize,
    },
    /// A proxy and its agent are killed and started again.
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

/// Whether a fault waits for something besides its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTrigger {
    /// It begins at its time.
    Time,
    /// It begins with the next acknowledgement after its time.
    NextAcknowledgement,
}

/// A fault and when it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Seconds from the start of the run.
    pub at: f64,
    /// Seconds that it lasts.
    pub span: f64,
    /// What it does.
    pub kind: FaultKind,
    /// The machines that it is about.
    pub machines: Vec<MachineSelector>,
    /// Seed nodes that these get when they start again; none: the first of the operators' list.
    pub seeds: Vec<MachineSelector>,
    /// What it waits for.
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

/// Everything that happens in a scheduled run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Its name.
    pub name: String,
    /// Decides all that the schedule does not say.
    pub seed: u64,
    /// The cluster's size and the run's length.
    pub parameters: SimulationParameters,
    /// Controllers that may be added later.
    pub spares: usize,
    /// By which part clocks are fast or slow at most.
    pub clock_drift: f64,
    /// Which part of the acknowledgements to operators is lost.
    pub acknowledgement_loss: f64,
    /// Whether disk operations and messages take times that differ much, so that they complete in any order.
    pub erratic: bool,
    /// What operators command.
    pub commands: Vec<ScheduledCommand>,
    /// What goes wrong.
    pub faults: Vec<ScheduledFault>,
}

//! Reads a schedule from a TOML file; docs/lab.md describes the keys, which stay as they are.

use super::{
    CommandTemplate, FaultKind, FaultTrigger, MachineSelector, Schedule, ScheduledCommand, ScheduledFault,
};
use crate::disk::{DiskCondition, UnsyncedData};
use crate::topology::{SimulationParameters, ZONES};
use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

const DEFAULT_RATE: u64 = 10;
const DEFAULT_GAP_S: f64 = 0.5;
const MAX_SECONDS: f64 = 3600.0;

/// What is wrong with a schedule.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// It is not TOML, or has a key that is not known, lacks one, or has one of another type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A number is too small or too large.
    #[error("{key}: {value} is not from {least} to {most}")]
    OutOfRange {
        /// Its key.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The least that is allowed.
        least: f64,
        /// The most that is allowed.
        most: f64,
    },
    /// A key is absent that entries of this kind need.
    #[error("{key}: it is needed for {kind}")]
    Missing {
        /// The key.
        key: &'static str,
        /// The entry's kind.
        kind: String,
    },
    /// A value is not allowed.
    #[error("{key}: {problem}")]
    Invalid {
        /// Its key.
        key: &'static str,
        /// Why not.
        problem: String,
    },
    /// An entry of a table is wrong.
    #[error("{table} {number}: {source}")]
    Entry {
        /// `order` or `trouble`.
        table: &'static str,
        /// Counted from 1.
        number: usize,
        /// What is wrong with it.
        source: Box<ScheduleError>,
    },
}

/// What is wrong with a schedule's file.
#[derive(Debug, Error)]
pub enum ScheduleFileError {
    /// It cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// Its content is wrong.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ScheduleError,
    },
}

type Checked<T> = Result<T, ScheduleError>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScheduleTable {
    about: String,
    #[serde(rename = "postmasters")]
    controllers: usize,
    #[serde(rename = "doors")]
    proxies: usize,
    seconds: u64,
    seed: u64,
    #[serde(default = "default_rate")]
    rate: u64,
    #[serde(default)]
    spares: usize,
    #[serde(default)]
    drift: f64,
    #[serde(default)]
    answers_lost: f64,
    #[serde(default)]
    erratic: bool,
    #[serde(default, rename = "order")]
    commands: Vec<CommandEntry>,
    #[serde(default, rename = "trouble")]
    faults: Vec<FaultEntry>,
}

fn default_rate() -> u64 {
    DEFAULT_RATE
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CommandEntry {
    at: f64,
    kind: String,
    count: Option<usize>,
    gap: Option<f64>,
    routes: Option<usize>,
    bodies: Option<usize>,
    fewer_keys: Option<bool>,
    #[serde(rename = "again")]
    repeat_after: Option<f64>,
    zone: Option<String>,
    #[serde(rename = "out")]
    outgoing: Option<String>,
    #[serde(rename = "into")]
    incoming: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultEntry {
    at: f64,
    #[serde(rename = "for")]
    span: f64,
    kind: String,
    #[serde(default, rename = "whom")]
    machines: Vec<String>,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    after_ack: bool,
    #[serde(rename = "doors")]
    proxies: Option<Vec<usize>>,
    bytes_per_s: Option<u64>,
    new: Option<String>,
}

impl Schedule {
    /// Reads a schedule's file.
    ///
    /// # Errors
    ///
    /// Where it cannot be read or its content is wrong.
    pub fn read(path: &Path) -> Result<Schedule, ScheduleFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScheduleFileError::Unreadable { path: path.to_owned(), source })?;
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        Schedule::parse(&name, &text)
            .map_err(|source| ScheduleFileError::Invalid { path: path.to_owned(), source })
    }

    /// Parses a schedule.
    ///
    /// # Errors
    ///
    /// Names the key that is wrong, and why.
    pub fn parse(name: &str, text: &str) -> Checked<Schedule> {
        let table: ScheduleTable = toml::from_str(text)?;
        table.check_ranges()?;
        let machines =
            MachineNames { controllers: table.controllers, proxies: table.proxies, spares: table.spares };
        let mut commands = Vec::new();
        for (index, entry) in table.commands.iter().enumerate() {
            commands.extend(entry.to_commands(&machines).map_err(in_entry("order", index))?);
        }
        let faults = table.faults.iter().enumerate();
        let faults =
            faults.map(|(index, entry)| entry.to_fault(&machines).map_err(in_entry("trouble", index)));
        Ok(Schedule {
            name: name.to_owned(),
            seed: table.seed,
            parameters: table.parameters(),
            spares: table.spares,
            clock_drift: table.drift,
            acknowledgement_loss: table.answers_lost,
            erratic: table.erratic,
            commands,
            faults: faults.collect::<Checked<_>>()?,
        })
    }
}

fn in_entry(table: &'static str, index: usize) -> impl Fn(ScheduleError) -> ScheduleError {
    move |source| ScheduleError::Entry { table, number: index + 1, source: Box::new(source) }
}

fn check_range(key: &'static str, value: f64, least: f64, most: f64) -> Checked<()> {
    let in_range = (least..=most).contains(&value);
    in_range.then_some(()).ok_or(ScheduleError::OutOfRange { key, value, least, most })
}

fn required<T>(key: &'static str, value: Option<T>, kind: &str) -> Checked<T> {
    value.ok_or_else(|| ScheduleError::Missing { key, kind: kind.to_owned() })
}

fn invalid(key: &'static str, problem: impl Into<String>) -> ScheduleError {
    ScheduleError::Invalid { key, problem: problem.into() }
}

impl ScheduleTable {
    fn check_ranges(&self) -> Checked<()> {
        check_range("postmasters", self.controllers as f64, 1.0, 9.0)?;
        check_range("doors", self.proxies as f64, 1.0, 50.0)?;
        check_range("spares", self.spares as f64, 0.0, 9.0)?;
        check_range("seconds", self.seconds as f64, 1.0, MAX_SECONDS)?;
        check_range("rate", self.rate as f64, 1.0, 10_000.0)?;
        check_range("drift", self.drift, 0.0, 0.5)?;
        check_range("answers_lost", self.answers_lost, 0.0, 0.9)?;
        if self.about.is_empty() {
            return Err(invalid("about", "it says nothing"));
        }
        Ok(())
    }

    fn parameters(&self) -> SimulationParameters {
        SimulationParameters {
            controllers: self.controllers,
            proxies: self.proxies,
            seconds: self.seconds,
            requests_per_second: self.rate,
            max_faults: 0,
        }
    }
}

/// Resolves the names of a schedule's machines.
struct MachineNames {
    controllers: usize,
    proxies: usize,
    spares: usize,
}

impl MachineNames {
    /// Spares are named after the first controllers, and numbered after the proxies.
    fn selector(&self, key: &'static str, name: &str) -> Checked<MachineSelector> {
        match name {
            "holder" => return Ok(MachineSelector::Leaseholder),
            "follower" => return Ok(MachineSelector::Follower),
            _ => {}
        }
        let number = name.strip_prefix("central-").and_then(|number| number.parse::<usize>().ok());
        match number {
            Some(number) if number < self.controllers => Ok(MachineSelector::Number(number)),
            Some(number) if number < self.controllers + self.spares => {
                Ok(MachineSelector::Number(number + self.proxies))
            }
            _ => {
                let problem = format!("{name} is no postmaster: holder, follower, or central-0 and so on");
                Err(invalid(key, problem))
            }
        }
    }

    fn selectors(&self, key: &'static str, names: &[String]) -> Checked<Vec<MachineSelector>> {
        names.iter().map(|name| self.selector(key, name)).collect()
    }

    fn proxy(&self, number: usize) -> Checked<usize> {
        if number < self.proxies {
            Ok(number + self.controllers)
        } else {
            Err(invalid("doors", format!("there is no door {number}")))
        }
    }
}

impl CommandEntry {
    fn to_commands(&self, machines: &MachineNames) -> Checked<Vec<ScheduledCommand>> {
        check_range("at", self.at, 1.0, MAX_SECONDS)?;
        let (count, gap) = (self.count.unwrap_or(1), self.gap.unwrap_or(DEFAULT_GAP_S));
        check_range("count", count as f64, 1.0, 5000.0)?;
        check_range("gap", gap, 0.01, 600.0)?;
        let command = self.template(machines)?;
        let commands = (0..count).map(|index| ScheduledCommand {
            at: self.at + gap * index as f64,
            command: command.clone(),
            repeat_after: self.repeat_after,
        });
        Ok(commands.collect())
    }

    fn template(&self, machines: &MachineNames) -> Checked<CommandTemplate> {
        Ok(match self.kind.as_str() {
            "replace" => self.replace()?,
            "evacuate" => CommandTemplate::BeginEvacuation(self.checked_zone()?),
            "finish" => CommandTemplate::FinishEvacuation(self.checked_zone()?),
            "voters" => {
                let selector = |key, name: &Option<String>| {
                    machines.selector(key, &required(key, name.clone(), &self.kind)?)
                };
                let outgoing = selector("out", &self.outgoing)?;
                CommandTemplate::ReplaceVoter { outgoing, incoming: selector("into", &self.incoming)? }
            }
            "invalid" => CommandTemplate::Invalid,
            other => {
                let problem = format!("{other} is none of replace, evacuate, finish, voters, invalid");
                return Err(invalid("kind", problem));
            }
        })
    }

    fn replace(&self) -> Checked<CommandTemplate> {
        let (extra_routes, bodies) = (self.routes.unwrap_or(0), self.bodies.unwrap_or(1));
        check_range("routes", extra_routes as f64, 0.0, 50_000.0)?;
        check_range("bodies", bodies as f64, 1.0, 8.0)?;
        let revoke_key = self.fewer_keys.unwrap_or(false);
        Ok(CommandTemplate::Replace { extra_routes, revoke_key, bodies })
    }

    fn checked_zone(&self) -> Checked<String> {
        let zone = required("zone", self.zone.clone(), &self.kind)?;
        if ZONES.iter().any(|(known, _)| *known == zone) {
            Ok(zone)
        } else {
            Err(invalid("zone", format!("{zone} is not known")))
        }
    }
}

impl FaultEntry {
    fn to_fault(&self, names: &MachineNames) -> Checked<ScheduledFault> {
        check_range("at", self.at, 1.0, MAX_SECONDS)?;
        check_range("for", self.span, 0.05, MAX_SECONDS)?;
        let machines = names.selectors("whom", &self.machines)?;
        let seeds = names.selectors("seeds", &self.seeds)?;
        let kind = self.fault_kind(names)?;
        let needs_no_machines =
            matches!(kind, FaultKind::Blackout(_) | FaultKind::ProxyCut { .. } | FaultKind::ProxyKill { .. });
        if !needs_no_machines && machines.is_empty() {
            return Err(ScheduleError::Missing { key: "whom", kind: self.kind.clone() });
        }
        let trigger = if self.after_ack { FaultTrigger::NextAcknowledgement } else { FaultTrigger::Time };
        Ok(ScheduledFault { at: self.at, span: self.span, kind, machines, seeds, trigger })
    }

    fn fault_kind(&self, names: &MachineNames) -> Checked<FaultKind> {
        let proxies = self.proxies.iter().flatten().map(|number| names.proxy(*number));
        let proxies = proxies.collect::<Checked<Vec<_>>>()?;
        let proxy = || required("doors", proxies.first().copied(), &self.kind);
        Ok(match self.kind.as_str() {
            "kill" => FaultKind::Kill,
            "power" => FaultKind::PowerLoss(UnsyncedData::Lost),
            "wipe" => FaultKind::DiskLoss,
            "freeze" => FaultKind::Freeze,
            "term" => FaultKind::Shutdown,
            "cut" => FaultKind::Partition { proxies },
            "unheard" => FaultKind::OutboundCut,
            "deaf" => FaultKind::InboundCut,
            "disk-slow" => FaultKind::Disk(DiskCondition::Slow),
            "disk-hangs" => FaultKind::Disk(DiskCondition::Hung),
            "disk-full" => FaultKind::Disk(DiskCondition::Full),
            "narrow" => FaultKind::SlowLink(required("bytes_per_s", self.bytes_per_s, &self.kind)?),
            "gone" => FaultKind::Replacement { new: self.spare(names)? },
            "blackout" => FaultKind::Blackout(UnsyncedData::Lost),
            "split" => FaultKind::ControllerSplit,
            "door-cut" => FaultKind::ProxyCut { proxy: proxy()? },
            "door-kill" => FaultKind::ProxyKill { proxy: proxy()? },
            other => return Err(invalid("kind", format!("{other} is no trouble"))),
        })
    }

    fn spare(&self, names: &MachineNames) -> Checked<usize> {
        match names.selector("new", &required("new", self.new.clone(), &self.kind)?)? {
            MachineSelector::Number(new) if new >= names.controllers => Ok(new),
            _ => Err(invalid("new", "it is no spare")),
        }
    }
}

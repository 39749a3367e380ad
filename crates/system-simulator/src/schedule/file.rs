//! Reads a schedule from a TOML file. docs/lab.md documents the keys, which are stable.

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
const MAX_TIME_S: f64 = 3600.0;

/// The reason why a schedule is invalid.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The text is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A number is outside its range.
    #[error("{key}: {value} is out of range, expected {min} to {max}")]
    OutOfRange {
        /// The key of the number.
        key: &'static str,
        /// The number in the file.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A key that is required for entries of this kind is missing.
    #[error("{key}: required for {kind}")]
    Missing {
        /// The missing key.
        key: &'static str,
        /// The `kind` of the entry.
        kind: String,
    },
    /// A value is not allowed.
    #[error("{key}: {problem}")]
    Invalid {
        /// The key of the value.
        key: &'static str,
        /// Why the value is not allowed.
        problem: String,
    },
    /// An entry of a table is invalid.
    #[error("{table} {number}: {source}")]
    Entry {
        /// The table: `order` or `trouble`.
        table: &'static str,
        /// The position of the entry in its table, from 1.
        number: usize,
        /// The error in the entry.
        source: Box<ScheduleError>,
    },
}

/// The reason why a schedule cannot be loaded from a file.
#[derive(Debug, Error)]
pub enum ScheduleFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The schedule in the file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The error in the schedule.
        source: ScheduleError,
    },
}

type ParseResult<T> = Result<T, ScheduleError>;

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
    /// Loads a schedule from a file; its name is the file name without the extension.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or its schedule is invalid.
    pub fn read(path: &Path) -> Result<Schedule, ScheduleFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScheduleFileError::Unreadable { path: path.to_owned(), source })?;
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        Schedule::parse(&name, &text)
            .map_err(|source| ScheduleFileError::Invalid { path: path.to_owned(), source })
    }

    /// Parses a schedule from TOML text.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid key and the reason.
    pub fn parse(name: &str, text: &str) -> ParseResult<Schedule> {
        let table: ScheduleTable = toml::from_str(text)?;
        table.check_ranges()?;
        let resolver =
            MachineResolver { controllers: table.controllers, proxies: table.proxies, spares: table.spares };
        let mut commands = Vec::new();
        for (index, entry) in table.commands.iter().enumerate() {
            commands.extend(entry.to_commands(&resolver).map_err(in_entry("order", index))?);
        }
        let faults = table.faults.iter().enumerate();
        let faults =
            faults.map(|(index, entry)| entry.to_fault(&resolver).map_err(in_entry("trouble", index)));
        Ok(Schedule {
            name: name.to_owned(),
            seed: table.seed,
            parameters: table.parameters(),
            spares: table.spares,
            clock_drift: table.drift,
            acknowledgement_loss: table.answers_lost,
            erratic: table.erratic,
            commands,
            faults: faults.collect::<ParseResult<_>>()?,
        })
    }
}

fn in_entry(table: &'static str, index: usize) -> impl Fn(ScheduleError) -> ScheduleError {
    move |source| ScheduleError::Entry { table, number: index + 1, source: Box::new(source) }
}

fn check_range(key: &'static str, value: f64, min: f64, max: f64) -> ParseResult<()> {
    let in_range = (min..=max).contains(&value);
    in_range.then_some(()).ok_or(ScheduleError::OutOfRange { key, value, min, max })
}

fn required<T>(key: &'static str, value: Option<T>, kind: &str) -> ParseResult<T> {
    value.ok_or_else(|| ScheduleError::Missing { key, kind: kind.to_owned() })
}

fn invalid(key: &'static str, problem: impl Into<String>) -> ScheduleError {
    ScheduleError::Invalid { key, problem: problem.into() }
}

impl ScheduleTable {
    fn check_ranges(&self) -> ParseResult<()> {
        check_range("postmasters", self.controllers as f64, 1.0, 9.0)?;
        check_range("doors", self.proxies as f64, 1.0, 50.0)?;
        check_range("spares", self.spares as f64, 0.0, 9.0)?;
        check_range("seconds", self.seconds as f64, 1.0, MAX_TIME_S)?;
        check_range("rate", self.rate as f64, 1.0, 10_000.0)?;
        check_range("drift", self.drift, 0.0, 0.5)?;
        check_range("answers_lost", self.answers_lost, 0.0, 0.9)?;
        if self.about.is_empty() {
            return Err(invalid("about", "must not be empty"));
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

/// Resolves the machine names in a schedule to machine numbers.
struct MachineResolver {
    controllers: usize,
    proxies: usize,
    spares: usize,
}

impl MachineResolver {
    /// The names of spares continue those of the initial controllers, but their machine numbers follow those of the
    /// proxies.
    fn selector(&self, key: &'static str, name: &str) -> ParseResult<MachineSelector> {
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
                let problem = format!(
                    "{name} is not a controller, expected holder, follower, or central-0 to central-{}",
                    self.controllers + self.spares - 1
                );
                Err(invalid(key, problem))
            }
        }
    }

    fn selectors(&self, key: &'static str, names: &[String]) -> ParseResult<Vec<MachineSelector>> {
        names.iter().map(|name| self.selector(key, name)).collect()
    }

    fn proxy(&self, number: usize) -> ParseResult<usize> {
        if number < self.proxies {
            Ok(number + self.controllers)
        } else {
            Err(invalid("doors", format!("no proxy has number {number}, expected 0 to {}", self.proxies - 1)))
        }
    }
}

impl CommandEntry {
    fn to_commands(&self, resolver: &MachineResolver) -> ParseResult<Vec<ScheduledCommand>> {
        check_range("at", self.at, 1.0, MAX_TIME_S)?;
        let (count, gap) = (self.count.unwrap_or(1), self.gap.unwrap_or(DEFAULT_GAP_S));
        check_range("count", count as f64, 1.0, 5000.0)?;
        check_range("gap", gap, 0.01, 600.0)?;
        let command = self.template(resolver)?;
        let commands = (0..count).map(|index| ScheduledCommand {
            at: self.at + gap * index as f64,
            command: command.clone(),
            repeat_after: self.repeat_after,
        });
        Ok(commands.collect())
    }

    fn template(&self, resolver: &MachineResolver) -> ParseResult<CommandTemplate> {
        Ok(match self.kind.as_str() {
            "replace" => self.replace()?,
            "evacuate" => CommandTemplate::BeginEvacuation(self.checked_zone()?),
            "finish" => CommandTemplate::FinishEvacuation(self.checked_zone()?),
            "voters" => {
                let selector = |key, name: &Option<String>| {
                    resolver.selector(key, &required(key, name.clone(), &self.kind)?)
                };
                let outgoing = selector("out", &self.outgoing)?;
                CommandTemplate::ReplaceVoter { outgoing, incoming: selector("into", &self.incoming)? }
            }
            "invalid" => CommandTemplate::Invalid,
            other => {
                let problem =
                    format!("unknown command {other}, expected replace, evacuate, finish, voters or invalid");
                return Err(invalid("kind", problem));
            }
        })
    }

    fn replace(&self) -> ParseResult<CommandTemplate> {
        let (extra_routes, bodies) = (self.routes.unwrap_or(0), self.bodies.unwrap_or(1));
        check_range("routes", extra_routes as f64, 0.0, 50_000.0)?;
        check_range("bodies", bodies as f64, 1.0, 8.0)?;
        let revoke_key = self.fewer_keys.unwrap_or(false);
        Ok(CommandTemplate::Replace { extra_routes, revoke_key, bodies })
    }

    fn checked_zone(&self) -> ParseResult<String> {
        let zone = required("zone", self.zone.clone(), &self.kind)?;
        if ZONES.iter().any(|(known, _)| *known == zone) {
            Ok(zone)
        } else {
            Err(invalid("zone", format!("unknown zone {zone}")))
        }
    }
}

impl FaultEntry {
    fn to_fault(&self, resolver: &MachineResolver) -> ParseResult<ScheduledFault> {
        check_range("at", self.at, 1.0, MAX_TIME_S)?;
        check_range("for", self.span, 0.05, MAX_TIME_S)?;
        let machines = resolver.selectors("whom", &self.machines)?;
        let seeds = resolver.selectors("seeds", &self.seeds)?;
        let kind = self.fault_kind(resolver)?;
        let selects_no_machines =
            matches!(kind, FaultKind::Blackout(_) | FaultKind::ProxyCut { .. } | FaultKind::ProxyKill { .. });
        if !selects_no_machines && machines.is_empty() {
            return Err(ScheduleError::Missing { key: "whom", kind: self.kind.clone() });
        }
        let trigger = if self.after_ack { FaultTrigger::NextAcknowledgement } else { FaultTrigger::Time };
        Ok(ScheduledFault { at: self.at, span: self.span, kind, machines, seeds, trigger })
    }

    fn fault_kind(&self, resolver: &MachineResolver) -> ParseResult<FaultKind> {
        let proxies = self.proxies.iter().flatten().map(|number| resolver.proxy(*number));
        let proxies = proxies.collect::<ParseResult<Vec<_>>>()?;
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
            "gone" => FaultKind::Replacement { new: self.spare(resolver)? },
            "blackout" => FaultKind::Blackout(UnsyncedData::Lost),
            "split" => FaultKind::ControllerSplit,
            "door-cut" => FaultKind::ProxyCut { proxy: proxy()? },
            "door-kill" => FaultKind::ProxyKill { proxy: proxy()? },
            other => return Err(invalid("kind", format!("unknown fault {other}"))),
        })
    }

    fn spare(&self, resolver: &MachineResolver) -> ParseResult<usize> {
        match resolver.selector("new", &required("new", self.new.clone(), &self.kind)?)? {
            MachineSelector::Number(new) if new >= resolver.controllers => Ok(new),
            _ => Err(invalid("new", "not a spare controller")),
        }
    }
}

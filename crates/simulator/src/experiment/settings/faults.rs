//! Settings of injected faults.

use serde::Deserialize;

/// A fault that is injected during a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, relative to the start of the run.
    pub at_s: f64,
    /// Duration.
    pub for_s: f64,
    /// Fraction of the backends, gateways or (with `flood`) customers that the fault affects.
    #[serde(default = "Fault::part")]
    pub part: f64,
    /// How the affected backends or gateways are selected.
    #[serde(default)]
    pub by: FaultScope,
    /// Magnitude. `slow`: factor on the service time; `flood`: factor on the demand; `answers-lost`: fraction of the
    /// responses; `list-late`, `door-stall`: seconds.
    #[serde(default = "Fault::size")]
    pub size: f64,
    /// `door-stall`, `flap`: seconds between repetitions; `drain`: seconds between the announcement and the stop.
    #[serde(default = "Fault::every_s")]
    pub every_s: f64,
}

impl Fault {
    fn part() -> f64 {
        0.2
    }
    fn size() -> f64 {
        1.0
    }
    fn every_s() -> f64 {
        3.0
    }
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Backend processes crash, and restart with a warm-up when the fault ends.
    Crash,
    /// Backends accept requests but never respond, and restart with a warm-up when the fault ends.
    Silent,
    /// Backends process requests more slowly.
    Slow,
    /// Backends crash and restart repeatedly.
    Flap,
    /// Backends drain one after the other, stop, and restart with a warm-up.
    Drain,
    /// Connections break after the backend has done the work, so that the response is lost.
    AnswersLost,
    /// The network between one zone and the others is partitioned.
    PlaceCut,
    /// Gateways crash and restart.
    DoorCrash,
    /// Gateways stall repeatedly.
    DoorStall,
    /// The shared counter does not respond and loses its totals.
    CounterDown,
    /// Discovery updates and meter readings have an additional delay.
    ListLate,
    /// The demand of some customers rises by a factor.
    Flood,
}

/// How the targets of a fault are selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultScope {
    /// Targets are selected independently of each other.
    #[default]
    Any,
    /// Targets are selected by complete zones.
    Place,
    /// Targets are selected by complete cells.
    Cell,
}

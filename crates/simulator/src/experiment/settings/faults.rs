//! What goes wrong.

use serde::Deserialize;

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    pub for_s: f64,
    /// The part of the backends or gateways that it strikes.
    #[serde(default = "Fault::part")]
    pub part: f64,
    /// How these are chosen.
    #[serde(default)]
    pub by: FaultScope,
    /// `slow`: times slower; `flood`: times what those customers ask; `answers-lost`: part of the answers; `list-late`,
    /// `door-stall`: seconds.
    #[serde(default = "Fault::size")]
    pub size: f64,
    /// `door-stall`, `flap`: seconds between; `drain`: seconds of notice.
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
    /// Backends' processes die and come back to warm up.
    Crash,
    /// Backends take work and answer nothing; they come back to warm up.
    Silent,
    /// Backends are slower.
    Slow,
    /// Backends die and come back again and again.
    Flap,
    /// Backends drain one after the other, go, and come back to warm up.
    Drain,
    /// Answers are cut off after the work is done.
    AnswersLost,
    /// The links between one zone and the others are cut.
    PlaceCut,
    /// Gateways die and come back.
    DoorCrash,
    /// Gateways stand still again and again.
    DoorStall,
    /// The shared counter answers nothing and forgets its totals.
    CounterDown,
    /// Discovery and meter are later.
    ListLate,
    /// Some customers ask far more.
    Flood,
}

/// How the targets of a fault are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultScope {
    /// One by one.
    #[default]
    Any,
    /// By zones.
    Place,
    /// By cells.
    Cell,
}

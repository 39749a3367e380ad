//! The rules that a run is held to. Each is checked where it may be broken, in [`crate::simulation`].

use std::fmt;
use vanewharf_policy::interface::Ticks;

/// A rule that no gateway may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer before the deadline, and nothing sent after it.
    OneAnswer,
    /// No request that must not be repeated runs twice.
    NoEffectTwice,
    /// Nothing is sent to a draining backend past the grace period.
    Drains,
    /// No backend that warms up is overloaded by gateways that knew of its start.
    WarmUp,
    /// No customer exceeds its hard limit.
    HardLimits,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one answer",
            Rule::NoEffectTwice => "no effect twice",
            Rule::Drains => "drains",
            Rule::WarmUp => "cold backends",
            Rule::HardLimits => "ceilings",
        })
    }
}

/// One breach of a rule.
#[derive(Clone, Debug)]
pub struct RuleViolation {
    /// The rule.
    pub rule: Rule,
    /// When, from the run's start on.
    pub at: Ticks,
    /// Who did what.
    pub what: String,
}

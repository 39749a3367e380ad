//! Rules that every run is checked against. [`crate::simulation`] checks each rule where a violation can occur.

use std::fmt;
use vanewharf_policy::interface::Ticks;

/// A rule that gateways must not violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final response by its deadline, and no attempt is sent after it.
    OneAnswer,
    /// No request that must not be repeated is executed twice.
    NoEffectTwice,
    /// No attempt is sent to a draining backend after the grace period.
    Drains,
    /// No backend is overloaded during its warm-up by gateways that had been told of its start.
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

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct RuleViolation {
    /// Violated rule.
    pub rule: Rule,
    /// Time of the violation, relative to the start of the run.
    pub at: Ticks,
    /// Description of the violation.
    pub description: String,
}

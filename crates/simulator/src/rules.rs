//! The rules that a run is held to; each is checked where it may break, in `world`.

use std::fmt;
use vanewharf_policy::interface::Ticks;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer before expiry, nothing sent after it.
    OneAnswer,
    NoEffectTwice,
    Drains,
    ColdBackends,
    Ceilings,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one answer",
            Rule::NoEffectTwice => "no effect twice",
            Rule::Drains => "drains",
            Rule::ColdBackends => "cold backends",
            Rule::Ceilings => "ceilings",
        })
    }
}

#[derive(Clone, Debug)]
pub struct Broken {
    pub rule: Rule,
    /// Since the run's start.
    pub at: Ticks,
    pub what: String,
}

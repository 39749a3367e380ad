//! Gateways, backends, the network between them, the services beside, and what gateways may do.

use crate::experiment::Span;
use serde::Deserialize;

/// Gateways and backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Gateways.
    pub doors: usize,
    /// Backends.
    pub backends: usize,
    /// Cores of a backend.
    #[serde(default = "Fleet::cores")]
    pub cores: usize,
    /// Requests that wait at a backend beyond those at work; more are rejected.
    #[serde(default = "Fleet::queue")]
    pub queue: usize,
    /// The zones; gateways and backends are spread over them in turn.
    #[serde(default = "Fleet::places")]
    pub places: Vec<String>,
    /// Backends that fail together where a fault goes by cells.
    #[serde(default = "Fleet::cell")]
    pub cell: usize,
    /// The backends' speeds, around 1.
    #[serde(default = "Fleet::speed")]
    pub speed: Span,
    /// The part of its capacity that a backend starts with.
    #[serde(default = "Fleet::cold_from")]
    pub cold_from: f64,
    /// Seconds until a backend has all of its capacity.
    #[serde(default = "Fleet::ramp_s")]
    pub ramp_s: f64,
    /// How much longer work takes as the queue fills beyond the first dozen.
    #[serde(default)]
    pub thrash: f64,
    /// What a cancellation or timeout stops.
    #[serde(default)]
    pub stops: Stops,
    /// Work of a new connection.
    #[serde(default = "Fleet::handshake_ms")]
    pub handshake_ms: f64,
    /// Seconds for which backends keep an idle connection at most.
    #[serde(default = "Fleet::idle_s")]
    pub idle_s: f64,
}

impl Fleet {
    fn cores() -> usize {
        2
    }
    fn queue() -> usize {
        40
    }
    fn places() -> Vec<String> {
        vec!["hall".to_owned()]
    }
    fn cell() -> usize {
        4
    }
    fn speed() -> Span {
        Span::Two([0.9, 1.1])
    }
    fn cold_from() -> f64 {
        0.25
    }
    fn ramp_s() -> f64 {
        10.0
    }
    fn handshake_ms() -> f64 {
        1.0
    }
    fn idle_s() -> f64 {
        15.0
    }
}

/// What a cancellation or timeout stops at a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stops {
    /// What reached a backend is worked on.
    Nothing,
    /// Requests that wait leave the queue.
    #[default]
    Waiting,
    /// Work stops, too.
    All,
}

/// Delays of one way, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Within a zone.
    pub same_ms: f64,
    /// Between zones.
    pub cross_ms: f64,
    /// Between a client and a gateway.
    pub client_ms: f64,
    /// The part by which delays vary.
    pub jitter: f64,
    /// A connection that is not up by then never comes up.
    pub dial_ms: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net { same_ms: 0.25, cross_ms: 0.6, client_ms: 0.7, jitter: 0.2, dial_ms: 250.0 }
    }
}

/// How late changes of backends are announced, in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Until a change is announced.
    pub late_s: Span,
    /// Until it is noticed that a backend says nothing any more.
    pub silent_late_s: Span,
    /// How far apart gateways hear the same announcement.
    pub spread_s: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { late_s: Span::Two([0.5, 2.0]), silent_late_s: Span::Two([4.0, 8.0]), spread_s: 0.2 }
    }
}

/// The metering of customers' usage.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Meter {
    /// The length of a period.
    pub period_s: f64,
    /// How late readings are.
    pub late_s: Span,
}

/// The shared quota counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Calls a second that one shard takes.
    pub per_s: f64,
    /// Shards, over which keys are spread.
    #[serde(default = "Counter::parts")]
    pub parts: usize,
    /// How long gateways wait for a reply.
    pub wait_ms: f64,
}

impl Counter {
    fn parts() -> usize {
        1
    }
}

/// Messages between gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// How long a message takes.
    pub takes_ms: Span,
    /// The part of the messages that is lost.
    #[serde(default)]
    pub loss: f64,
    /// Messages a second that a gateway takes in.
    pub in_per_s: f64,
}

/// What gateways may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Cancel attempts.
    pub cancel: bool,
    /// Have two attempts in flight.
    pub second_copies: bool,
    /// Tell rejected clients when to come back.
    pub retry_after: bool,
    /// The longest time that they may be told.
    pub max_retry_after_ms: f64,
    /// Attempts for one request at most.
    pub most_submissions: usize,
}

impl Default for Allow {
    fn default() -> Self {
        Allow {
            cancel: true,
            second_copies: true,
            retry_after: true,
            max_retry_after_ms: 500.0,
            most_submissions: 3,
        }
    }
}

/// The margins of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// For how long a draining backend may still be sent to.
    pub drain_grace_ms: f64,
    /// How much later than its deadline a request may be answered.
    pub answer_slack_ms: f64,
    /// A backend that warms up and gets more than so many times its capacity is overloaded.
    pub fall_multiple: f64,
    /// Over how long that is measured.
    pub fall_ms: f64,
    /// By how much a hard limit may be exceeded: of its burst, or the largest request where that is more.
    pub ceiling_slack: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 1000.0,
            answer_slack_ms: 50.0,
            fall_multiple: 3.0,
            fall_ms: 1000.0,
            ceiling_slack: 0.1,
        }
    }
}

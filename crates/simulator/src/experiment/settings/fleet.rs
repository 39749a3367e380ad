//! Settings of gateways, backends, the network between them, the supporting services, and what gateways may do.

use crate::experiment::Span;
use serde::Deserialize;

/// Gateways and backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of gateways.
    pub doors: usize,
    /// Number of backends.
    pub backends: usize,
    /// Cores per backend.
    #[serde(default = "Fleet::cores")]
    pub cores: usize,
    /// Queue capacity of a backend, besides the requests in service. A backend rejects requests when its queue is full.
    #[serde(default = "Fleet::queue")]
    pub queue: usize,
    /// Zone names. Gateways and backends are assigned to zones round robin.
    #[serde(default = "Fleet::places")]
    pub places: Vec<String>,
    /// Backends per cell. A fault with the scope `cell` affects complete cells.
    #[serde(default = "Fleet::cell")]
    pub cell: usize,
    /// Relative speed of a backend's cores; 1 is nominal.
    #[serde(default = "Fleet::speed")]
    pub speed: Span,
    /// Fraction of its capacity that a backend has right after its start.
    #[serde(default = "Fleet::cold_from")]
    pub cold_from: f64,
    /// Warm-up time: seconds after its start until a backend has its full capacity.
    #[serde(default = "Fleet::ramp_s")]
    pub ramp_s: f64,
    /// Relative increase of the service time, multiplied by the fraction of the queue's capacity that is occupied beyond
    /// the first 12 requests.
    #[serde(default)]
    pub thrash: f64,
    /// Which work a cancellation or timeout stops.
    #[serde(default)]
    pub stops: Stops,
    /// Work that a new connection costs the backend.
    #[serde(default = "Fleet::handshake_ms")]
    pub handshake_ms: f64,
    /// Seconds after which backends close an idle connection.
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

/// Which work at a backend a cancellation or timeout stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stops {
    /// No work: the backend processes every request that it has received.
    Nothing,
    /// Queued requests are removed.
    #[default]
    Waiting,
    /// Queued requests are removed, and requests in service are aborted.
    All,
}

/// One-way network delays, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Delay within a zone.
    pub same_ms: f64,
    /// Delay between zones.
    pub cross_ms: f64,
    /// Delay between a client and a gateway.
    pub client_ms: f64,
    /// Maximum relative deviation of a delay from its mean.
    pub jitter: f64,
    /// Connect timeout.
    pub dial_ms: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net { same_ms: 0.25, cross_ms: 0.6, client_ms: 0.7, jitter: 0.2, dial_ms: 250.0 }
    }
}

/// Delays of discovery, in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay until a change of a backend's status is announced.
    pub late_s: Span,
    /// Delay until discovery detects that a backend does not respond any more.
    pub silent_late_s: Span,
    /// Maximum difference between the times at which gateways receive the same announcement.
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
    /// Length of a metering period.
    pub period_s: f64,
    /// Delay of a reading after the end of its period.
    pub late_s: Span,
}

/// The shared quota counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Calls per second that one shard handles.
    pub per_s: f64,
    /// Number of shards, over which the keys are distributed.
    #[serde(default = "Counter::parts")]
    pub parts: usize,
    /// Gateways' timeout for a reply.
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
    /// Delivery time of a message.
    pub takes_ms: Span,
    /// Fraction of the messages that are lost.
    #[serde(default)]
    pub loss: f64,
    /// Messages per second that a gateway accepts.
    pub in_per_s: f64,
}

/// What gateways may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Whether gateways may cancel attempts.
    pub cancel: bool,
    /// Whether a request may have more than one attempt in flight.
    pub second_copies: bool,
    /// Whether gateways may send a retry-after with a rejection.
    pub retry_after: bool,
    /// Maximum retry-after.
    pub max_retry_after_ms: f64,
    /// Maximum number of attempts per request.
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

/// Tolerances of the rules that a run is checked against.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a gateway may still send to a backend after it was told that the backend drains.
    pub drain_grace_ms: f64,
    /// How long after its deadline a request may still be answered.
    pub answer_slack_ms: f64,
    /// A backend in warm-up is overloaded when it receives more than this multiple of its capacity.
    pub fall_multiple: f64,
    /// Time window over which that load is measured.
    pub fall_ms: f64,
    /// By how much a hard limit may be exceeded: a fraction of its burst, or the cost of the largest request where that
    /// is more.
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

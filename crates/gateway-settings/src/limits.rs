//! The limits and intervals that the gateway's stages keep to.

use crate::options::{Options, UnreadableOption, ticks_from_ms};
use vanewharf_policy::interface::Ticks;

/// The part of a backend's own idle timeout for which an idle connection is reused.
const REUSED_PART_OF_IDLE_TIMEOUT: f64 = 0.25;
/// For how long an idle connection is reused where the backends' idle timeout is not known.
const DEFAULT_IDLE_REUSE: Ticks = Ticks::SECOND;

/// The greatest values that a request may state. A bound that the settings do not give is the type's greatest value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestBounds {
    /// The most units that one request may cost.
    pub max_cost: f64,
    /// The number of gateways.
    pub gateways: u32,
    /// The longest expiry of each product, rounded up to the whole milliseconds that a request can state.
    pub max_expiries: Vec<Ticks>,
}

/// Reads the bounds of requests.
///
/// # Errors
///
/// Where an option cannot be read.
pub fn request_bounds(options: &Options) -> Result<RequestBounds, UnreadableOption> {
    let products = 0..options.count("classes.count")?;
    let expiry = |item| options.number(&format!("classes.{item}.hard_limit"));
    let bound = |expiry: f64| if expiry > 0.0 { ticks_from_ms(expiry.ceil()) } else { Ticks(i64::MAX) };
    let max_expiries = products.map(|item| expiry(item).map(bound)).collect::<Result<_, _>>()?;
    let max_cost = Some(options.number("family_info.most_units")?).filter(|&cost| cost > 0.0);
    let gateways = options.optional("balancers")?.filter(|&gateways| gateways > 0);
    Ok(RequestBounds {
        max_cost: max_cost.unwrap_or(f64::MAX),
        gateways: gateways.unwrap_or(u32::MAX),
        max_expiries,
    })
}

/// How long connections to backends may take to open, and stay idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// A backend closes a connection that has been idle for so long, at the latest. Zero: not known.
    pub idle: Ticks,
    /// A connection that is not established by then never will be. Zero: not known.
    pub dial: Ticks,
}

/// Reads the timeouts of backend connections.
///
/// # Errors
///
/// Where an option cannot be read.
pub fn connection_timeouts(options: &Options) -> Result<ConnectionTimeouts, UnreadableOption> {
    let (idle, dial) = (options.time("allowed.conn_idle")?, options.time("allowed.dial_timeout")?);
    Ok(ConnectionTimeouts { idle, dial })
}

/// For how long an idle connection is reused, where backends close theirs after `backend_idle_timeout` at the latest. It
/// is much shorter: a request that crosses with the close may have run, and a new connection costs little.
pub fn idle_reuse_limit(backend_idle_timeout: Ticks) -> Ticks {
    if backend_idle_timeout.0 > 0 {
        backend_idle_timeout.times(REUSED_PART_OF_IDLE_TIMEOUT)
    } else {
        DEFAULT_IDLE_REUSE
    }
}

/// How often a gateway must call discovery, where lists come only on request.
///
/// # Errors
///
/// Where an option cannot be read.
pub fn discovery_poll_interval(options: &Options) -> Result<Option<Ticks>, UnreadableOption> {
    let on_request = options.text("membership_mode") == "on_request";
    Ok(on_request.then_some(options.time("rules.ask_within")?))
}

/// How many messages of other gateways are accepted in a second.
///
/// # Errors
///
/// Where the option cannot be read.
pub fn peer_messages_per_s(options: &Options) -> Result<f64, UnreadableOption> {
    options.number("family_info.peer_in_per_s")
}

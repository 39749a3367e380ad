//! Conversion of settings into limits and intervals of the gateway's components.

use crate::options::{Options, UnreadableOption, ticks_from_ms};
use vanewharf_policy::interface::Ticks;

/// Fraction of a backend's own idle timeout for which an idle connection is reused.
const IDLE_REUSE_FRACTION: f64 = 0.25;
/// How long an idle connection is reused if the idle timeout of the backends is not known.
const DEFAULT_IDLE_REUSE: Ticks = Ticks::SECOND;

/// Maximum values in a request. A bound that the settings do not specify is the maximum of its type.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestBounds {
    /// Maximum cost of one request, in units.
    pub max_cost: f64,
    /// Number of gateways.
    pub gateways: u32,
    /// Maximum expiry of each product, rounded up because requests state whole milliseconds.
    pub max_expiries: Vec<Ticks>,
}

/// Converts the bounds of requests.
///
/// # Errors
///
/// Returns the first setting that cannot be parsed.
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

/// Timeouts of connections to backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// Time after which a backend closes an idle connection at the latest; zero if it is not known.
    pub idle: Ticks,
    /// Time after which a connection that is not established never will be; zero if it is not known.
    pub dial: Ticks,
}

/// Converts the timeouts of backend connections.
///
/// # Errors
///
/// Returns the first setting that cannot be parsed.
pub fn connection_timeouts(options: &Options) -> Result<ConnectionTimeouts, UnreadableOption> {
    let (idle, dial) = (options.duration("allowed.conn_idle")?, options.duration("allowed.dial_timeout")?);
    Ok(ConnectionTimeouts { idle, dial })
}

/// Returns how long an idle connection is reused if backends close theirs after `backend_idle_timeout` at the latest.
///
/// The limit is much shorter than that timeout: a request that is sent while the backend closes the connection may have
/// run, whereas opening a new connection is cheap.
pub fn idle_reuse_limit(backend_idle_timeout: Ticks) -> Ticks {
    if backend_idle_timeout.0 > 0 {
        backend_idle_timeout.times(IDLE_REUSE_FRACTION)
    } else {
        DEFAULT_IDLE_REUSE
    }
}

/// Returns the maximum interval between calls to discovery, if it sends backend lists only on request.
///
/// # Errors
///
/// Returns an error if the interval cannot be parsed.
pub fn discovery_poll_interval(options: &Options) -> Result<Option<Ticks>, UnreadableOption> {
    let on_request = options.text("membership_mode") == "on_request";
    Ok(on_request.then_some(options.duration("rules.ask_within")?))
}

/// Returns how many messages of other gateways are accepted per second.
///
/// # Errors
///
/// Returns an error if the setting cannot be parsed.
pub fn peer_messages_per_s(options: &Options) -> Result<f64, UnreadableOption> {
    options.number("family_info.peer_in_per_s")
}

//! Timeouts and sizes of calls.

use std::time::Duration;

/// For a connection to be established, which takes two round trips across regions.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// From a request's first byte to its last.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// From a response's first byte to its last, as far as bytes keep arriving.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// Between two requests on a connection.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The largest body between the system's own processes, and of a configuration.
pub const MAX_BODY_BYTES: usize = 24 << 20;
/// A connection's buffer that has grown larger is freed when it is empty.
pub(crate) const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

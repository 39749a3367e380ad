//! The final answer to a request, and writing it to the client.

use crate::dialect::ForwardingOptions;
use futures_util::SinkExt;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use vanewharf_http1::{ForwardedReply, LocalReply, Reply, ServerCodec};
use vanewharf_policy::interface::Ticks;

/// How long writing one answer may take before the client is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

const NOT_ACCEPTED_BODY: &str = "not taken on now; trying again is harmless\n";

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// A backend's reply.
    Forwarded(Reply),
    /// The policy declined the request; it has not run.
    Declined {
        /// If a quota was exceeded, when the client may retry; `None` if capacity was short.
        retry_after: Option<Ticks>,
    },
    /// The request cannot be served now; it has not run.
    Busy {
        /// When the client may retry.
        retry_after: Ticks,
    },
    /// The request is invalid; it was rejected before any routing decision.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        reason: &'static str,
    },
    /// The request may have run.
    OutcomeUnknown,
}

impl FinalAnswer {
    /// The memory used by the answer, in bytes.
    pub fn memory_bytes(&self) -> usize {
        if let FinalAnswer::Forwarded(reply) = self { reply.memory_bytes() } else { 0 }
    }
}

/// Writes a request's final answer. With `close`, the answer announces that the connection closes after it. Returns
/// whether the answer was written completely.
pub async fn write_answer(
    client: &mut Framed<TcpStream, ServerCodec>,
    answer: &FinalAnswer,
    close: bool,
    options: &ForwardingOptions,
) -> bool {
    let (status, retry_after, body) = match answer {
        FinalAnswer::Forwarded(reply) => {
            let removed_headers = options.response_headers_removed;
            return completes_in_time(client.send(ForwardedReply { reply, removed_headers, close })).await;
        }
        FinalAnswer::Declined { retry_after: Some(wait) } => (429, Some(*wait), "beyond the quota\n"),
        FinalAnswer::Declined { retry_after: None } => (503, options.busy_retry_after, NOT_ACCEPTED_BODY),
        FinalAnswer::Busy { retry_after } => (503, Some(*retry_after), NOT_ACCEPTED_BODY),
        FinalAnswer::OutcomeUnknown => (502, None, "the outcome is not known\n"),
        FinalAnswer::Rejected { status, reason } => {
            return write_plain(client, *status, &format!("{reason}\n"), close).await;
        }
    };
    let seconds = retry_after.map(decimal_seconds);
    let fields: Vec<_> = seconds.iter().map(|seconds| ("Retry-After", seconds.as_str())).collect();
    completes_in_time(client.send(LocalReply { status, fields: &fields, body: body.as_bytes(), close })).await
}

/// Writes an answer that the gateway gives by itself, such as a rejection or the health status.
pub async fn write_plain(
    client: &mut Framed<TcpStream, ServerCodec>,
    status: u16,
    body: &str,
    close: bool,
) -> bool {
    completes_in_time(client.send(LocalReply { status, fields: &[], body: body.as_bytes(), close })).await
}

/// Formats a span in seconds with four decimals; a negative span counts as zero.
fn decimal_seconds(span: Ticks) -> String {
    let (second, span) = (Ticks::SECOND.0, span.0.max(0));
    format!("{}.{:04}", span / second, span % second)
}

/// Whether the write completed within [`WRITE_TIMEOUT`]. If not, it is dropped after an unknown part was sent, so the
/// connection must be closed.
async fn completes_in_time(write: impl Future<Output = std::io::Result<()>>) -> bool {
    tokio::select! {
        biased;
        written = write => written.is_ok(),
        () = tokio::time::sleep(WRITE_TIMEOUT) => false,
    }
}

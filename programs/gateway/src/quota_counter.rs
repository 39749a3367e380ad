//! The client of the shared quota counter, over RESP2. It pipelines `ADDGET KEY AMOUNT TTL_MS` calls on one connection,
//! and replies arrive in the order of the calls. The policy decides when to call.
//!
//! A call that is not answered within the configured timeout is reported as unknown, because it may have been
//! executed or may yet be; its late reply is discarded. When the connection ends, all unanswered calls on it are
//! unknown.

use crate::clock::{TICKS_PER_MS, to_duration};
use crate::messages::RouterMessage;
use crate::shared::Shared;
use futures_util::{SinkExt, StreamExt};
use redis_protocol::codec::Resp2;
use redis_protocol::error::RedisProtocolError;
use redis_protocol::resp2::types::BytesFrame;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};
use vanewharf_policy::interface::{CounterKey, CounterReply, Ticks};

/// The time to live that the counter accepts for a key, in milliseconds.
const KEY_TTL_MS: std::ops::RangeInclusive<i64> = 1..=60_000;

/// A call to the counter.
pub struct Call {
    /// The key to add to.
    pub key: CounterKey,
    /// The amount to add; negative to subtract.
    pub amount: f64,
    /// The time to live of a new key, clamped to the 1 ms to 60 s that the counter accepts.
    pub expire_after: Ticks,
}

impl Call {
    fn to_frame(&self) -> BytesFrame {
        let ttl_ms = (self.expire_after.0 / TICKS_PER_MS).clamp(*KEY_TTL_MS.start(), *KEY_TTL_MS.end());
        let arguments =
            ["ADDGET".to_owned(), self.key.0.to_string(), self.amount.to_string(), ttl_ms.to_string()];
        BytesFrame::Array(
            arguments.into_iter().map(|argument| BytesFrame::BulkString(argument.into())).collect(),
        )
    }
}

/// Makes calls until the sender of `calls` is dropped, and reports each call's result to the router.
pub async fn run(
    address: SocketAddr,
    call_timeout: Ticks,
    calls: mpsc::UnboundedReceiver<Call>,
    shared: Rc<Shared>,
) {
    let report = |key, reply| shared.notify_router(RouterMessage::QuotaCounterReply(key, reply));
    serve(|| TcpStream::connect(address), call_timeout, calls, report).await;
}

async fn serve<D: Future<Output = std::io::Result<TcpStream>>>(
    dial: impl Fn() -> D,
    call_timeout: Ticks,
    calls: mpsc::UnboundedReceiver<Call>,
    report: impl Fn(CounterKey, CounterReply),
) {
    let call_timeout = to_duration(call_timeout);
    let client = CounterClient { dial, call_timeout, report, connection: None, pending: VecDeque::new() };
    client.run(calls).await;
}

struct CounterConnection {
    reader: FramedRead<OwnedReadHalf, Resp2>,
    writer: FramedWrite<OwnedWriteHalf, Resp2>,
}

impl CounterConnection {
    fn new(stream: TcpStream) -> CounterConnection {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        CounterConnection {
            reader: FramedRead::new(read, Resp2::default()),
            writer: FramedWrite::new(write, Resp2::default()),
        }
    }
}

/// A call that was written and whose reply has not arrived.
struct PendingCall {
    key: CounterKey,
    deadline: Instant,
    /// Whether the call was reported as unknown after its timeout; its reply is then discarded.
    timed_out: bool,
}

type ReplyFrame = Option<Result<BytesFrame, RedisProtocolError>>;

struct CounterClient<Dial, Report> {
    dial: Dial,
    call_timeout: Duration,
    report: Report,
    connection: Option<CounterConnection>,
    /// The calls written on the connection that await a reply, in order.
    pending: VecDeque<PendingCall>,
}

impl<D, Dial, Report> CounterClient<Dial, Report>
where
    D: Future<Output = std::io::Result<TcpStream>>,
    Dial: Fn() -> D,
    Report: Fn(CounterKey, CounterReply),
{
    async fn run(mut self, mut calls: mpsc::UnboundedReceiver<Call>) {
        loop {
            let deadline = self.pending.iter().filter(|call| !call.timed_out).map(|call| call.deadline).min();
            // Cancel safe: the channel loses no call, and the bytes of an incomplete reply stay in the reader.
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.make_call(call, &mut calls).await,
                    None => return,
                },
                reply = next_reply(self.connection.as_mut()) => self.handle_reply(reply),
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    self.report_timeouts();
                }
            }
        }
    }

    async fn make_call(&mut self, call: Call, calls: &mut mpsc::UnboundedReceiver<Call>) {
        if self.connection.is_none() {
            match timeout(self.call_timeout, (self.dial)()).await {
                Ok(Ok(stream)) => self.connection = Some(CounterConnection::new(stream)),
                _ => {
                    (self.report)(call.key, CounterReply::NotAdded);
                    return self.fail_queued_calls(calls);
                }
            }
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        let deadline = Instant::now() + self.call_timeout;
        self.pending.push_back(PendingCall { key: call.key, deadline, timed_out: false });
        match timeout(self.call_timeout, connection.writer.send(call.to_frame())).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => self.close(),
            // The counter does not read. A part of the call may have been sent, so the connection cannot be used again.
            Err(_) => {
                self.close();
                self.fail_queued_calls(calls);
            }
        }
    }

    /// Reports the calls that were queued while the counter could not be reached. They were not sent. Trying again for each
    /// would delay their requests one after the other.
    fn fail_queued_calls(&self, calls: &mut mpsc::UnboundedReceiver<Call>) {
        while let Ok(call) = calls.try_recv() {
            (self.report)(call.key, CounterReply::NotAdded);
        }
    }

    fn handle_reply(&mut self, reply: ReplyFrame) {
        match reply {
            Some(Ok(reply)) if !self.pending.is_empty() => {
                let answered = self.pending.pop_front().filter(|call| !call.timed_out);
                if let Some(call) = answered {
                    (self.report)(call.key, parse_reply(reply));
                }
            }
            // The connection ended, a reply is malformed or there is no call for it: no further reply can be matched.
            _ => self.close(),
        }
    }

    fn report_timeouts(&mut self) {
        let now = Instant::now();
        for call in self.pending.iter_mut().filter(|call| !call.timed_out && call.deadline <= now) {
            call.timed_out = true;
            (self.report)(call.key, CounterReply::Unknown);
        }
    }

    /// Closes the connection and reports all unanswered calls on it as unknown.
    fn close(&mut self) {
        self.connection = None;
        for call in self.pending.drain(..).filter(|call| !call.timed_out) {
            (self.report)(call.key, CounterReply::Unknown);
        }
    }
}

/// Reads the next reply; never completes if there is no connection.
async fn next_reply(connection: Option<&mut CounterConnection>) -> ReplyFrame {
    match connection {
        Some(connection) => connection.reader.next().await,
        None => std::future::pending().await,
    }
}

/// Parses a reply. A total is a string or an integer; an error such as `-BUSY` or `-ERR` states that nothing was added. Any
/// other reply states neither.
fn parse_reply(reply: BytesFrame) -> CounterReply {
    let total = match reply {
        BytesFrame::Error(_) => return CounterReply::NotAdded,
        BytesFrame::BulkString(text) | BytesFrame::SimpleString(text) => {
            std::str::from_utf8(&text).ok().and_then(|text| text.trim().parse::<f64>().ok())
        }
        BytesFrame::Integer(total) => Some(total as f64),
        BytesFrame::Array(_) | BytesFrame::Null => None,
    };
    total.filter(|total| total.is_finite()).map_or(CounterReply::Unknown, CounterReply::Total)
}

#[cfg(test)]
mod tests;

//! The shared quota counter, over RESP2: `ADDGET NAME STEP LIFE` on one connection, the calls written one after another
//! and answered in their order. Whether to call is decided by the policy.
//!
//! A call left unanswered past the configured time is reported as unknown (it may have been executed, or may yet be), and
//! its reply, when it arrives, is read and dropped. When the connection ends, all calls unanswered on it are unknown.

use crate::clock::to_duration;
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

/// How long the counter may keep a key, in milliseconds.
const LIFE_MS: std::ops::RangeInclusive<i64> = 1..=60_000;

/// One call, as the policy makes it.
pub struct Call {
    /// The key that is counted under.
    pub key: CounterKey,
    /// What is added; taken off where it is negative.
    pub amount: f64,
    /// How long the counter keeps a new key; it accepts 1 ms to 60 s.
    pub expire_after: Ticks,
}

impl Call {
    fn to_frame(&self) -> BytesFrame {
        let life = (self.expire_after.0 / 10).clamp(*LIFE_MS.start(), *LIFE_MS.end());
        let arguments =
            ["ADDGET".to_owned(), self.key.0.to_string(), self.amount.to_string(), life.to_string()];
        BytesFrame::Array(
            arguments.into_iter().map(|argument| BytesFrame::BulkString(argument.into())).collect(),
        )
    }
}

/// Makes calls until their sender is gone, and reports each call's result to the router.
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

/// A call whose reply has not arrived.
struct PendingCall {
    key: CounterKey,
    deadline: Instant,
    /// Its time is over and it was reported as unknown; its reply is to be dropped.
    timed_out: bool,
}

type ReplyFrame = Option<Result<BytesFrame, RedisProtocolError>>;

struct CounterClient<Dial, Report> {
    dial: Dial,
    call_timeout: Duration,
    report: Report,
    connection: Option<CounterConnection>,
    /// The calls written on the connection, in their order.
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
            // Cancel safe: the channel loses no call, and what was read of a reply stays in the reader.
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
                    // Those made meanwhile have waited as long: dialling again for each would delay their requests one
                    // after the other.
                    while let Ok(call) = calls.try_recv() {
                        (self.report)(call.key, CounterReply::NotAdded);
                    }
                    return;
                }
            }
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        let deadline = Instant::now() + self.call_timeout;
        self.pending.push_back(PendingCall { key: call.key, deadline, timed_out: false });
        if connection.writer.send(call.to_frame()).await.is_err() {
            self.close();
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
            // The connection's end, an unreadable reply, or a reply to no call: nothing more on it can be trusted.
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

    /// Closes the connection; all calls unanswered on it are unknown.
    fn close(&mut self) {
        self.connection = None;
        for call in self.pending.drain(..).filter(|call| !call.timed_out) {
            (self.report)(call.key, CounterReply::Unknown);
        }
    }
}

/// Waits for ever where there is no connection.
async fn next_reply(connection: Option<&mut CounterConnection>) -> ReplyFrame {
    match connection {
        Some(connection) => connection.reader.next().await,
        None => std::future::pending().await,
    }
}

/// A total is a bulk string; `-BUSY` and `-ERR` added nothing.
fn parse_reply(reply: BytesFrame) -> CounterReply {
    let total = match reply {
        BytesFrame::BulkString(text) | BytesFrame::SimpleString(text) => {
            std::str::from_utf8(&text).ok().and_then(|text| text.trim().parse::<f64>().ok())
        }
        BytesFrame::Integer(total) => Some(total as f64),
        _ => None,
    };
    total.filter(|total| total.is_finite()).map_or(CounterReply::NotAdded, CounterReply::Total)
}

#[cfg(test)]
mod tests;

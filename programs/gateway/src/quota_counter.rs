//! The shared quota counter, over RESP2: `ADDGET NAME STEP LIFE` on one connection, the calls written one
//! after another and answered in their order. Nothing here decides whether to call. A call left unanswered
//! past the settings' wait is told as unknown (it may have been added, or may yet be), and its answer, when
//! it comes, is read and dropped; a connection that ends leaves all it had unanswered unknown.

use crate::clock::to_duration;
use crate::messages::RouterMessage;
use crate::shared::Shared;
use futures_util::{SinkExt, StreamExt};
use redis_protocol::codec::Resp2;
use redis_protocol::resp2::types::BytesFrame;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};
use vanewharf_policy::interface::{CounterKey, CounterReply, Ticks};

/// One call, as the decisions ask for it: `step` units (below 0 takes off) to `name`, which a new name keeps
/// for `forget_after` (the counter takes 1 ms to 60 s).
pub struct Call {
    pub name: CounterKey,
    pub step: f64,
    pub forget_after: Ticks,
}

struct Out {
    name: CounterKey,
    until: Instant,
    told: bool,
}

fn frame(call: &Call) -> BytesFrame {
    let life = (call.forget_after.0 / 10).clamp(1, 60_000);
    let words = ["ADDGET".to_owned(), call.name.0.to_string(), call.step.to_string(), life.to_string()];
    BytesFrame::Array(words.into_iter().map(|word| BytesFrame::BulkString(word.into())).collect())
}

/// A total is a bulk string; `-BUSY` and `-ERR` added nothing.
fn counted(answer: BytesFrame) -> CounterReply {
    let total = match answer {
        BytesFrame::BulkString(text) | BytesFrame::SimpleString(text) => {
            std::str::from_utf8(&text).ok().and_then(|text| text.trim().parse::<f64>().ok())
        }
        BytesFrame::Integer(total) => Some(total as f64),
        _ => None,
    };
    total.filter(|total| total.is_finite()).map_or(CounterReply::NotAdded, CounterReply::Total)
}

pub async fn run(address: SocketAddr, wait: Ticks, calls: mpsc::UnboundedReceiver<Call>, shared: Rc<Shared>) {
    let tell = |name, counted| shared.notify_router(RouterMessage::Counted(name, counted));
    serve(|| TcpStream::connect(address), wait, calls, tell).await;
}

async fn serve<D: Future<Output = std::io::Result<TcpStream>>>(
    dial: impl Fn() -> D,
    wait: Ticks,
    mut calls: mpsc::UnboundedReceiver<Call>,
    tell: impl Fn(CounterKey, CounterReply),
) {
    let wait = to_duration(wait);
    let mut reader: Option<FramedRead<OwnedReadHalf, Resp2>> = None;
    let mut writer: Option<FramedWrite<OwnedWriteHalf, Resp2>> = None;
    let mut out: VecDeque<Out> = VecDeque::new();
    loop {
        let due = out.iter().filter(|one| !one.told).map(|one| one.until).min();
        let answer = async {
            match reader.as_mut() {
                Some(reader) => reader.next().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else {
                    return;
                };
                if writer.is_none() {
                    match timeout(wait, dial()).await {
                        Ok(Ok(stream)) => {
                            let _ = stream.set_nodelay(true);
                            let (read, write) = stream.into_split();
                            reader = Some(FramedRead::new(read, Resp2::default()));
                            writer = Some(FramedWrite::new(write, Resp2::default()));
                        }
                        _ => {
                            tell(call.name, CounterReply::NotAdded);
                            // Those made meanwhile have waited as long: another dial each would hold their
                            // txns one wait after the other.
                            while let Ok(call) = calls.try_recv() {
                                tell(call.name, CounterReply::NotAdded);
                            }
                            continue;
                        }
                    }
                }
                let Some(write) = writer.as_mut() else {
                    continue;
                };
                out.push_back(Out { name: call.name, until: Instant::now() + wait, told: false });
                if write.send(frame(&call)).await.is_err() {
                    (reader, writer) = (None, None);
                    out.drain(..).filter(|one| !one.told).for_each(|one| tell(one.name, CounterReply::Unknown));
                }
            }
            answer = answer => match (answer, out.pop_front()) {
                (Some(Ok(answer)), Some(one)) => {
                    if !one.told {
                        tell(one.name, counted(answer));
                    }
                }
                // Ended, unreadable, or an answer to no call: nothing more on it can be trusted.
                (_, first) => {
                    (reader, writer) = (None, None);
                    let unanswered = first.into_iter().chain(out.drain(..)).filter(|one| !one.told);
                    unanswered.for_each(|one| tell(one.name, CounterReply::Unknown));
                }
            },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let now = Instant::now();
                for one in out.iter_mut().filter(|one| !one.told && one.until <= now) {
                    one.told = true;
                    tell(one.name, CounterReply::Unknown);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;

    const WAIT: Ticks = Ticks(800);

    #[tokio::test(start_paused = true)]
    async fn a_counter_that_takes_no_connection_holds_no_call_longer_than_one_wait() {
        let (calls, taken) = mpsc::unbounded_channel();
        let told = RefCell::new(Vec::new());
        let began = Instant::now();
        for name in 0..5 {
            let call = Call { name: CounterKey(name), step: 1.0, forget_after: Ticks::SECOND };
            assert!(calls.send(call).is_ok());
        }
        drop(calls);
        let tell = |name, counted| told.borrow_mut().push((name, counted, began.elapsed()));
        serve(std::future::pending, WAIT, taken, tell).await;
        let told = told.into_inner();
        assert_eq!(told.len(), 5, "{told:?}");
        for (no, (name, counted, took)) in told.iter().enumerate() {
            assert_eq!((*name, *counted), (CounterKey(no as u64), CounterReply::NotAdded));
            assert!(*took < to_duration(WAIT) + to_duration(WAIT).div_f64(2.0), "{told:?}");
        }
    }
}

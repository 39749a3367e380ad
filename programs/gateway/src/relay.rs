//! Relay: the one final answer of a txn, written to its client.

use crate::gate::Speech;
use futures_util::SinkExt;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use vanewharf_http1::{Answer, Inward, PassedBack, Reply};
use vanewharf_policy::interface::Tenths;

/// A client that takes nothing for so long has given up, whatever it asked.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub enum Final {
    Settled(Reply),
    /// Beyond a quota, and when the client may come back; without that, there was no room.
    Declined(Option<Tenths>),
    /// No room now: nothing has run.
    Busy(Option<Tenths>),
    /// Refused by what it asks, before any decision.
    Bad(u16, &'static str),
    /// It may have run.
    Voided,
}

impl Final {
    pub fn bytes(&self) -> usize {
        if let Final::Settled(reply) = self { reply.bytes() } else { 0 }
    }
}

/// Whether it was written whole.
async fn written(sending: impl Future<Output = std::io::Result<()>>) -> bool {
    tokio::select! {
        biased;
        sent = sending => sent.is_ok(),
        () = tokio::time::sleep(PATIENCE) => false,
    }
}

pub async fn relay(
    client: &mut Framed<TcpStream, Inward>,
    answer: &Final,
    last: bool,
    speech: &Speech,
) -> bool {
    let (status, wait, body) = match answer {
        Final::Settled(reply) => {
            let held_back = speech.not_passed_back;
            return written(client.send(PassedBack { reply, held_back, last })).await;
        }
        Final::Declined(Some(wait)) => (429, Some(*wait), "beyond the quota\n"),
        Final::Declined(None) => (503, speech.busy_after, "not taken on now; trying again is harmless\n"),
        Final::Busy(wait) => (503, *wait, "not taken on now; trying again is harmless\n"),
        Final::Voided => (502, None, "the outcome is not known\n"),
        Final::Bad(status, reason) => return say(client, *status, &format!("{reason}\n"), last).await,
    };
    let seconds = wait.map(|wait| (Tenths::SECOND.0, wait.0.max(0)));
    let seconds = seconds.map(|(second, wait)| format!("{}.{:04}", wait / second, wait % second));
    let fields: Vec<_> = seconds.iter().map(|seconds| ("Retry-After", seconds.as_str())).collect();
    written(client.send(Answer { status, fields: &fields, body: body.as_bytes(), last })).await
}

/// An answer that no backend and no decision had a part in.
pub async fn say(client: &mut Framed<TcpStream, Inward>, status: u16, body: &str, last: bool) -> bool {
    written(client.send(Answer { status, fields: &[], body: body.as_bytes(), last })).await
}

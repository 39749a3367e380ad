//! Relay: the one final answer of a txn, written to its client.

use futures_util::SinkExt;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use vanewharf::interface::Tenths;
use vanewharf_frames::{Answer, Inward, PassedBack, Reply};

/// A client that takes nothing for so long has given up, whatever it asked.
const PATIENCE: Duration = Duration::from_secs(5);

/// What a backend tells the door and not the client.
const FOR_THE_DOOR: [&str; 4] = ["X-Quota-Used", "X-Units-Charged", "X-Backend-Load", "X-Unprocessed"];

#[derive(Debug)]
pub enum Final {
    Settled(Reply),
    Declined(Option<Tenths>),
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

pub async fn relay(client: &mut Framed<TcpStream, Inward>, answer: &Final, last: bool) -> bool {
    match answer {
        Final::Settled(reply) => {
            written(client.send(PassedBack { reply, held_back: &FOR_THE_DOOR, last })).await
        }
        Final::Declined(Some(wait)) => {
            let (second, wait) = (Tenths::SECOND.0, wait.0.max(0));
            let seconds = format!("{}.{:04}", wait / second, wait % second);
            let fields = [("Retry-After", seconds.as_str())];
            let answer = Answer { status: 429, fields: &fields, body: "beyond the quota\n", last };
            written(client.send(answer)).await
        }
        Final::Declined(None) => say(client, 503, "not taken on now; trying again is harmless\n", last).await,
        Final::Voided => say(client, 502, "the outcome is not known\n", last).await,
    }
}

/// An answer that no backend and no decision had a part in.
pub async fn say(client: &mut Framed<TcpStream, Inward>, status: u16, body: &str, last: bool) -> bool {
    written(client.send(Answer { status, fields: &[], body, last })).await
}

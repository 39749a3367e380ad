//! HTTP/1.1 between processes: calls that end in time, and a server whose handler gives each request one reply.

use crate::premises::{Ear, Net, Stream};
use bytes::BytesMut;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;
use vanewharf_frames::{Answer, Fault, Inward, Outward, Request};

/// For a connection to come up: across regions it takes two ways.
const DIAL: Duration = Duration::from_millis(400);
/// From a request's first byte to its last, and how long a caller may say nothing.
const WHOLE: Duration = Duration::from_secs(3);
const IDLE: Duration = Duration::from_secs(20);
/// From the first byte of an answer to its last.
const WHOLE_ANSWER: Duration = Duration::from_secs(12);
/// Callers at once; one more waits in the system's queue.
const MOST_CALLERS: usize = 1500;
/// The largest body between the system's own processes, and of a configuration.
pub const MOST_BODY: usize = 24 << 20;

#[derive(Debug, Error)]
pub enum Failed {
    #[error("no connection")]
    NoConnection,
    #[error("no answer in time")]
    Silent,
    #[error("the connection broke")]
    Broke,
    #[error("status {0}")]
    Status(u16),
    #[error("the answer cannot be read")]
    Unread,
}

/// One kept connection to one address; a call that fails closes it.
pub struct Caller {
    pub address: SocketAddr,
    net: Rc<dyn Net>,
    kept: Option<Framed<Stream, Outward>>,
}

impl Caller {
    pub fn to(address: SocketAddr, net: &Rc<dyn Net>) -> Caller {
        Caller { address, net: Rc::clone(net), kept: None }
    }

    /// Status and body. It is tried once more on a new connection where a kept one had ended.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), Failed> {
        self.request((method, path, ""), body, within).await
    }

    async fn request(
        &mut self,
        (method, path, reads): (&str, &str, &str),
        body: &str,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), Failed> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{reads}Content-Length: {}\r\n\r\n",
            self.address,
            body.len()
        );
        let kept = self.kept.is_some();
        let message = [head.as_str(), body].concat();
        match self.once(&message, within).await {
            Err(Failed::Broke) if kept => self.once(&message, within).await,
            done => done,
        }
    }

    /// `within` is for silence: an answer that keeps coming over a narrow link may take `WHOLE_ANSWER`.
    async fn once(&mut self, message: &str, within: Duration) -> Result<(u16, Vec<u8>), Failed> {
        let mut framed = match self.kept.take() {
            Some(framed) => framed,
            None => Framed::new(self.dial().await?, Outward::up_to(MOST_BODY)),
        };
        let sent = timeout(within.max(WHOLE), framed.get_mut().write_all(message.as_bytes())).await;
        sent.map_err(|_| Failed::Silent)?.map_err(|_| Failed::Broke)?;
        let begun = Instant::now();
        let read = loop {
            let before = (framed.codec().come(), framed.read_buffer().len());
            match timeout(within, framed.next()).await {
                Ok(read) => break read,
                Err(_) if before == (framed.codec().come(), framed.read_buffer().len()) => {
                    return Err(Failed::Silent);
                }
                Err(_) if begun.elapsed() > WHOLE_ANSWER => return Err(Failed::Silent),
                Err(_) => {}
            }
        };
        let reply = match read {
            Some(Ok(reply)) => reply,
            None | Some(Err(Fault::Io(_) | Fault::Cut)) => return Err(Failed::Broke),
            Some(Err(_)) => return Err(Failed::Unread),
        };
        let status = reply.status();
        let body = match reply.field("Content-Encoding") {
            None => reply.body().to_vec(),
            Some(PACKED) => unpacked(reply.body()).ok_or(Failed::Unread)?,
            Some(_) => return Err(Failed::Unread),
        };
        if !reply.last() && framed.read_buffer().is_empty() {
            if framed.read_buffer().capacity() > SMALL {
                *framed.read_buffer_mut() = BytesMut::new();
            }
            self.kept = Some(framed);
        }
        Ok((status, body))
    }

    async fn dial(&self) -> Result<Stream, Failed> {
        let stream = timeout(DIAL, self.net.dial(self.address)).await;
        stream.map_err(|_| Failed::NoConnection)?.map_err(|_| Failed::NoConnection)
    }

    /// A call of the system's own: JSON both ways.
    pub async fn ask<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        question: &Q,
        within: Duration,
    ) -> Result<A, Failed> {
        let body = serde_json::to_string(question).map_err(|_| Failed::Unread)?;
        let reads = format!("Accept-Encoding: {PACKED}\r\n");
        match self.request(("POST", path, &reads), &body, within).await? {
            (200, answer) => serde_json::from_slice(&answer).map_err(|_| Failed::Unread),
            (status, _) => Err(Failed::Status(status)),
        }
    }
}

const SMALL: usize = 16 * 1024;

/// How bodies between the system's own processes are made smaller, where links are narrow.
const PACKED: &str = "deflate";
/// Below this it is not worth the work.
const WORTH_PACKING: usize = 2048;

fn unpacked(body: &[u8]) -> Option<Vec<u8>> {
    let mut whole = Vec::new();
    let most = MOST_BODY as u64 + 1;
    DeflateDecoder::new(body).take(most).read_to_end(&mut whole).ok()?;
    (whole.len() <= MOST_BODY).then_some(whole)
}

fn packed(body: &[u8]) -> Option<Vec<u8>> {
    let mut packing = DeflateEncoder::new(Vec::with_capacity(body.len() / 4), Compression::fast());
    packing.write_all(body).ok()?;
    packing.finish().ok()
}

/// What a handler says.
#[derive(Debug)]
pub struct Said {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Said {
    /// Made smaller where it is long and the caller can read it so.
    pub fn packed(self, request: &Request) -> Said {
        let reads = request.field("Accept-Encoding") == Some(PACKED);
        if !reads || self.body.len() < WORTH_PACKING {
            return self;
        }
        match packed(&self.body) {
            Some(body) => {
                let mut fields = self.fields;
                fields.push(("Content-Encoding", PACKED.to_owned()));
                Said { status: self.status, fields, body }
            }
            None => self,
        }
    }

    pub fn status(status: u16, why: &str) -> Said {
        let body =
            if status < 300 { "{}".to_owned() } else { serde_json::json!({ "error": why }).to_string() };
        Said { status, fields: Vec::new(), body: body.into_bytes() }
    }

    pub fn json<T: Serialize>(said: &T) -> Said {
        match serde_json::to_vec(said) {
            Ok(body) => Said { status: 200, fields: Vec::new(), body },
            Err(_) => Said::status(500, "the answer cannot be written"),
        }
    }
}

/// Serves for as long as the program runs; each caller in a task of its own.
pub async fn serve<H, F>(mut ear: Box<dyn Ear>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Said>,
{
    let (handler, callers) = (Rc::new(handler), Rc::new(Cell::new(0)));
    loop {
        match ear.accept().await {
            Ok(stream) if callers.get() < MOST_CALLERS => {
                let (handler, callers) = (Rc::clone(&handler), Rc::clone(&callers));
                callers.set(callers.get() + 1);
                tokio::task::spawn_local(async move {
                    attend(stream, &*handler).await;
                    callers.set(callers.get() - 1);
                });
            }
            // Too many at once: the caller tries another door.
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// What the handler says, or nothing where the caller has gone: nobody waits for it any more, so that it is dropped where
/// it stands. The connection is looked at first, as what was held up on its way comes together with its end. A request
/// that comes meanwhile is read ahead, one at most.
async fn unless_gone(
    framed: &mut Framed<Stream, Inward>,
    ahead: &mut Option<Result<Request, Fault>>,
    saying: impl Future<Output = Said>,
) -> Option<Said> {
    let mut saying = std::pin::pin!(saying);
    std::future::poll_fn(|cx| {
        if ahead.is_none()
            && let std::task::Poll::Ready(read) = framed.poll_next_unpin(cx)
        {
            match read {
                None | Some(Err(Fault::Io(_) | Fault::Cut)) => return std::task::Poll::Ready(None),
                Some(read) => *ahead = Some(read),
            }
        }
        saying.as_mut().poll(cx).map(Some)
    })
    .await
}

async fn attend<H, F>(stream: Stream, handler: &H)
where
    H: Fn(Request) -> F,
    F: Future<Output = Said>,
{
    let mut framed = Framed::new(stream, Inward::up_to(MOST_BODY));
    let mut ahead = None;
    loop {
        let begun = std::future::poll_fn(|cx| match framed.poll_next_unpin(cx) {
            std::task::Poll::Ready(read) => std::task::Poll::Ready(Some(read)),
            std::task::Poll::Pending if framed.read_buffer().is_empty() && framed.codec().held() == 0 => {
                std::task::Poll::Pending
            }
            std::task::Poll::Pending => std::task::Poll::Ready(None),
        });
        let read = match ahead.take() {
            Some(read) => Some(read),
            None => match timeout(IDLE, begun).await {
                Ok(Some(read)) => read,
                Ok(None) => match timeout(WHOLE, framed.next()).await {
                    Ok(read) => read,
                    Err(_) => return,
                },
                Err(_) => return,
            },
        };
        let (said, last) = match read {
            None | Some(Err(Fault::Io(_) | Fault::Cut)) => return,
            Some(Err(Fault::HeadTooLarge)) => (Said::status(431, "the head is too large"), true),
            Some(Err(Fault::BodyTooLarge)) => (Said::status(413, "the body is too large"), true),
            Some(Err(fault)) => (Said::status(400, &fault.to_string()), true),
            Some(Ok(request)) => {
                let last = request.last();
                match unless_gone(&mut framed, &mut ahead, handler(request)).await {
                    Some(said) => (said, last),
                    None => return,
                }
            }
        };
        let mut fields: Vec<_> = said.fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
        fields.push(("Content-Type", "application/json"));
        let answer = Answer { status: said.status, fields: &fields, body: &said.body, last };
        if !matches!(timeout(WHOLE_ANSWER, framed.send(answer)).await, Ok(Ok(()))) || last {
            let _ = timeout(WHOLE, framed.get_mut().shutdown()).await;
            return;
        }
        if framed.write_buffer().capacity() > SMALL {
            *framed.write_buffer_mut() = BytesMut::new();
        }
        if framed.read_buffer().is_empty() && framed.read_buffer().capacity() > SMALL {
            *framed.read_buffer_mut() = BytesMut::new();
        }
    }
}

#[cfg(test)]
mod tests;

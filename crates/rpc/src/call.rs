//! HTTP/1.1 between processes: calls that end in time, and a server whose handler gives each request one
//! reply. The system's own calls carry an id, and their answers the id of the call that they answer.

use bytes::BytesMut;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::{FutureExt, SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;
use vanewharf_http1::{ClientCodec, PlainReply, ReadError, Request, ServerCodec};
use vanewharf_protocol::deduplication::{CallHistory, CallId, CallStatus, has_cumulative_effect};
use vanewharf_protocol::endpoints::{CALL_ID, CALL_REPEATED};
use vanewharf_runtime::environment::{Listener, Network, Stream};

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
pub enum RpcError {
    #[error("no connection")]
    ConnectFailed,
    #[error("no answer in time")]
    Timeout,
    #[error("the connection broke")]
    ConnectionLost,
    #[error("status {0}")]
    Status(u16),
    #[error("the answer cannot be read")]
    Malformed,
    #[error("the answer is to another call")]
    MismatchedCallId,
}

/// One kept connection to one address; a call that fails closes it.
pub struct RpcClient {
    pub address: SocketAddr,
    net: Rc<dyn Network>,
    kept: Option<Framed<Stream, ClientCodec>>,
    /// Of the last call.
    id: CallId,
}

/// One request, and what is told of it to processes of the system's own.
struct Asked<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
    own: bool,
}

impl RpcClient {
    pub fn new(address: SocketAddr, net: &Rc<dyn Network>) -> RpcClient {
        RpcClient {
            address,
            net: Rc::clone(net),
            kept: None,
            id: CallId { caller: net.unique_id(), sequence: 0 },
        }
    }

    /// Status and body, of one that need not be of the system's own.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), RpcError> {
        self.request(Asked { method, path, body, own: false }, within).await
    }

    /// Where a kept connection breaks, or gives another call's answer, the same goes out once more on a new
    /// one if that can do no harm: what changes nothing by coming twice does so as a new call, and what adds
    /// up under the same id.
    async fn request(&mut self, asked: Asked<'_>, within: Duration) -> Result<(u16, Vec<u8>), RpcError> {
        let again = asked.own || asked.method == "GET";
        self.kept = self.kept.take().and_then(still_quiet);
        let kept = self.kept.is_some();
        self.id.sequence += 1;
        match self.once(&asked, within).await {
            Err(RpcError::ConnectionLost | RpcError::MismatchedCallId) if kept && again => {
                if !has_cumulative_effect(asked.path) {
                    self.id.sequence += 1;
                }
                self.once(&asked, within).await
            }
            done => done,
        }
    }

    fn message(&self, asked: &Asked) -> String {
        let Asked { method, path, body, own } = asked;
        let own = match own {
            true => format!("{CALL_ID}: {}\r\nAccept-Encoding: {PACKED}\r\n", self.id),
            false => String::new(),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{own}Content-Length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        )
    }

    /// `within` is for silence: an answer that keeps coming over a narrow link may take `WHOLE_ANSWER`.
    async fn once(&mut self, asked: &Asked<'_>, within: Duration) -> Result<(u16, Vec<u8>), RpcError> {
        let message = self.message(asked);
        let mut framed = match self.kept.take() {
            Some(framed) => framed,
            None => Framed::new(self.dial().await?, ClientCodec::with_max_body(MOST_BODY)),
        };
        let sent = timeout(within.max(WHOLE), framed.get_mut().write_all(message.as_bytes())).await;
        sent.map_err(|_| RpcError::Timeout)?.map_err(|_| RpcError::ConnectionLost)?;
        let begun = Instant::now();
        let read = loop {
            let before = (framed.codec().received_bytes(), framed.read_buffer().len());
            match timeout(within, framed.next()).await {
                Ok(read) => break read,
                Err(_) if before == (framed.codec().received_bytes(), framed.read_buffer().len()) => {
                    return Err(RpcError::Timeout);
                }
                Err(_) if begun.elapsed() > WHOLE_ANSWER => return Err(RpcError::Timeout),
                Err(_) => {}
            }
        };
        let reply = match read {
            Some(Ok(reply)) => reply,
            None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => {
                return Err(RpcError::ConnectionLost);
            }
            Some(Err(_)) => return Err(RpcError::Malformed),
        };
        // The connection ends here: whatever else comes on it belongs to no call, either.
        if asked.own && reply.unique_field(CALL_ID).and_then(|id| id.parse().ok()) != Some(self.id) {
            return Err(RpcError::MismatchedCallId);
        }
        let status = reply.status();
        let body = match reply.field("Content-Encoding") {
            None => reply.body().to_vec(),
            Some(PACKED) => unpacked(reply.body()).ok_or(RpcError::Malformed)?,
            Some(_) => return Err(RpcError::Malformed),
        };
        if !reply.closes_connection() && framed.read_buffer().is_empty() {
            if framed.read_buffer().capacity() > SMALL {
                *framed.read_buffer_mut() = BytesMut::new();
            }
            self.kept = Some(framed);
        }
        Ok((status, body))
    }

    async fn dial(&self) -> Result<Stream, RpcError> {
        let stream = timeout(DIAL, self.net.connect(self.address)).await;
        stream.map_err(|_| RpcError::ConnectFailed)?.map_err(|_| RpcError::ConnectFailed)
    }

    /// A call of the system's own: JSON both ways.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        question: &Q,
        within: Duration,
    ) -> Result<A, RpcError> {
        let body = serde_json::to_string(question).map_err(|_| RpcError::Malformed)?;
        self.own(Asked { method: "POST", path, body: &body, own: true }, within).await
    }

    /// One that asks for something and says nothing.
    pub async fn get<A: DeserializeOwned>(&mut self, path: &str, within: Duration) -> Result<A, RpcError> {
        self.own(Asked { method: "GET", path, body: "", own: true }, within).await
    }

    async fn own<A: DeserializeOwned>(&mut self, asked: Asked<'_>, within: Duration) -> Result<A, RpcError> {
        match self.request(asked, within).await? {
            (200, answer) => serde_json::from_slice(&answer).map_err(|_| RpcError::Malformed),
            (status, _) => Err(RpcError::Status(status)),
        }
    }
}

/// Nothing may come unasked: whatever it is, an end too, the connection is of no more use.
fn still_quiet(mut framed: Framed<Stream, ClientCodec>) -> Option<Framed<Stream, ClientCodec>> {
    let came = framed.next().now_or_never().is_some();
    (!came && framed.read_buffer().is_empty()).then_some(framed)
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
#[derive(Clone, Debug)]
pub struct RpcResponse {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl RpcResponse {
    /// Made smaller where it is long and the caller can read it so.
    pub fn compressed_for(self, request: &Request) -> RpcResponse {
        let reads = request.field("Accept-Encoding") == Some(PACKED);
        if !reads || self.body.len() < WORTH_PACKING {
            return self;
        }
        match packed(&self.body) {
            Some(body) => {
                let mut fields = self.headers;
                fields.push(("Content-Encoding", PACKED.to_owned()));
                RpcResponse { status: self.status, headers: fields, body }
            }
            None => self,
        }
    }

    pub fn with_status(status: u16, why: &str) -> RpcResponse {
        let body =
            if status < 300 { "{}".to_owned() } else { serde_json::json!({ "error": why }).to_string() };
        RpcResponse { status, headers: Vec::new(), body: body.into_bytes() }
    }

    pub fn json<T: Serialize>(said: &T) -> RpcResponse {
        match serde_json::to_vec(said) {
            Ok(body) => RpcResponse { status: 200, headers: Vec::new(), body },
            Err(_) => RpcResponse::with_status(500, "the answer cannot be written"),
        }
    }
}

/// Serves for as long as the program runs; each caller in a task of its own.
pub async fn serve<H, F>(ear: Box<dyn Listener>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    attend_all(ear, handler, None).await;
}

/// The same for the system's own calls: one that was heard before is told so and changes nothing.
pub async fn serve_deduplicated<H, F>(ear: Box<dyn Listener>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    attend_all(ear, handler, Some(Rc::default())).await;
}

/// The calls that were heard, and what was said to those that add up.
type Calls = Rc<RefCell<CallHistory<RpcResponse>>>;

async fn attend_all<H, F>(mut ear: Box<dyn Listener>, handler: H, calls: Option<Calls>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    let (handler, callers) = (Rc::new(handler), Rc::new(Cell::new(0)));
    loop {
        match ear.accept().await {
            Ok(stream) if callers.get() < MOST_CALLERS => {
                let (handler, callers, calls) = (Rc::clone(&handler), Rc::clone(&callers), calls.clone());
                callers.set(callers.get() + 1);
                tokio::task::spawn_local(async move {
                    attend(stream, &*handler, calls).await;
                    callers.set(callers.get() - 1);
                });
            }
            // Too many at once: the caller tries another door.
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// What is said to a call, unless it was heard before.
async fn said_to<H, F>(request: Request, handler: &H, calls: Option<&Calls>) -> RpcResponse
where
    H: Fn(Request) -> F,
    F: Future<Output = RpcResponse>,
{
    let id = request.field(CALL_ID).map(str::parse::<CallId>);
    let (id, calls) = match (id, calls) {
        (Some(Ok(id)), Some(calls)) => (id, calls),
        (Some(Err(why)), Some(_)) => return RpcResponse::with_status(400, &why.to_string()),
        // From outside, where no id means anything.
        _ => return handler(request).await,
    };
    let hearing = calls.borrow_mut().observe(id, Instant::now());
    match hearing {
        CallStatus::Answered(mut said) => {
            said.headers.push((CALL_REPEATED, "1".to_owned()));
            said
        }
        CallStatus::Repeated => {
            RpcResponse::with_status(409, "this call, or a later one of its caller, was heard before")
        }
        CallStatus::New => {
            let kept = has_cumulative_effect(request.target());
            let said = handler(request).await;
            if kept {
                calls.borrow_mut().record_answer(id, said.clone());
            }
            said
        }
    }
}

/// What the handler says, or nothing where the caller has gone: nobody waits for it any more, so that it is dropped where
/// it stands. The connection is looked at first, as what was held up on its way comes together with its end. A request
/// that comes meanwhile is read ahead, one at most.
async fn unless_gone(
    framed: &mut Framed<Stream, ServerCodec>,
    ahead: &mut Option<Result<Request, ReadError>>,
    saying: impl Future<Output = RpcResponse>,
) -> Option<RpcResponse> {
    // Else the end would not be seen before the runtime has asked the system once more what has come.
    tokio::task::yield_now().await;
    let mut saying = std::pin::pin!(saying);
    std::future::poll_fn(|cx| {
        if ahead.is_none()
            && let std::task::Poll::Ready(read) = framed.poll_next_unpin(cx)
        {
            match read {
                None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => {
                    return std::task::Poll::Ready(None);
                }
                Some(read) => *ahead = Some(read),
            }
        }
        saying.as_mut().poll(cx).map(Some)
    })
    .await
}

async fn attend<H, F>(stream: Stream, handler: &H, calls: Option<Calls>)
where
    H: Fn(Request) -> F,
    F: Future<Output = RpcResponse>,
{
    let mut framed = Framed::new(stream, ServerCodec::with_max_body(MOST_BODY));
    let mut ahead = None;
    loop {
        let begun = std::future::poll_fn(|cx| match framed.poll_next_unpin(cx) {
            std::task::Poll::Ready(read) => std::task::Poll::Ready(Some(read)),
            std::task::Poll::Pending
                if framed.read_buffer().is_empty() && framed.codec().buffered_bytes() == 0 =>
            {
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
        let mut call = None;
        let (said, last) = match read {
            None | Some(Err(ReadError::Io(_) | ReadError::UnexpectedEof)) => return,
            Some(Err(ReadError::HeadTooLarge)) => {
                (RpcResponse::with_status(431, "the head is too large"), true)
            }
            Some(Err(ReadError::BodyTooLarge)) => {
                (RpcResponse::with_status(413, "the body is too large"), true)
            }
            Some(Err(fault)) => (RpcResponse::with_status(400, &fault.to_string()), true),
            Some(Ok(request)) => {
                let last = request.closes_connection();
                call = request.field(CALL_ID).map(str::to_owned);
                match unless_gone(&mut framed, &mut ahead, said_to(request, handler, calls.as_ref())).await {
                    Some(said) => (said, last),
                    None => return,
                }
            }
        };
        let mut fields: Vec<_> = said.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        fields.push(("Content-Type", "application/json"));
        fields.extend(call.iter().map(|id| (CALL_ID, id.as_str())));
        let answer = PlainReply { status: said.status, fields: &fields, body: &said.body, close: last };
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

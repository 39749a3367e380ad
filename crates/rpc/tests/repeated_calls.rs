//! The server of internal calls handles each call once, however often it arrives.

use futures_util::StreamExt;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, duplex};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use vanewharf_http1::ClientCodec;
use vanewharf_protocol::endpoints::{CALL_ID, CALL_REPEATED};
use vanewharf_rpc::{MAX_BODY_BYTES, RpcResponse, serve_deduplicated};
use vanewharf_runtime::environment::{BoxFuture, Listener, Stream};

/// A listener that accepts the connections that the test sends to it.
struct TestListener(mpsc::UnboundedReceiver<Stream>);

impl Listener for TestListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move { self.0.recv().await.ok_or_else(|| io::ErrorKind::NotConnected.into()) })
    }
}

struct Response {
    status: u16,
    body: String,
    is_marked_repeated: bool,
    has_matching_id: bool,
}

/// Makes a call on a connection of its own.
async fn call(connections: &mpsc::UnboundedSender<Stream>, path: &str, id: &str) -> Response {
    let (client, server) = duplex(1 << 16);
    connections.send(Box::new(server)).expect("the server runs");
    let mut client = Framed::new(client, ClientCodec::with_max_body(MAX_BODY_BYTES));
    let text = format!("POST {path} HTTP/1.1\r\nHost: h\r\n{CALL_ID}: {id}\r\nContent-Length: 0\r\n\r\n");
    client.get_mut().write_all(text.as_bytes()).await.expect("connected");
    let reply = client.next().await.expect("a reply arrives").expect("the reply is well-formed");
    Response {
        status: reply.status(),
        body: String::from_utf8_lossy(reply.body()).into_owned(),
        is_marked_repeated: reply.field(CALL_REPEATED).is_some(),
        has_matching_id: reply.field(CALL_ID) == Some(id),
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_that_arrives_twice_is_handled_once_and_its_response_is_marked() {
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        let (connections, arriving) = mpsc::unbounded_channel();
        let handled = Rc::new(Cell::new(0));
        let counter = Rc::clone(&handled);
        tokio::task::spawn_local(serve_deduplicated(Box::new(TestListener(arriving)), move |_| {
            counter.set(counter.get() + 1);
            let response = RpcResponse::json(&counter.get());
            async move { response }
        }));
        let first = call(&connections, "/lend", "a-1").await;
        assert_eq!((first.status, first.body.as_str()), (200, "1"));
        assert!(!first.is_marked_repeated && first.has_matching_id);
        let again = call(&connections, "/lend", "a-1").await;
        assert_eq!((again.status, again.body.as_str()), (200, "1"), "the first response is repeated");
        assert!(again.is_marked_repeated && again.has_matching_id);
        let other = call(&connections, "/vote", "b-4").await;
        assert_eq!((other.status, other.body.as_str()), (200, "2"));
        assert!(!other.is_marked_repeated && other.has_matching_id);
        for (path, id) in [("/vote", "b-4"), ("/vote", "b-3")] {
            let response = call(&connections, path, id).await;
            let Response { status, body, has_matching_id, .. } = response;
            assert!(
                status == 409 && body.contains("heard before") && has_matching_id,
                "{id}: {status} {body}"
            );
        }
        let Response { status, body, .. } = call(&connections, "/vote", "so").await;
        assert!(status == 400 && body.contains("id cannot be read"), "{status} {body}");
        assert_eq!(handled.get(), 2);
    });
    // The limit is in simulated time. It makes a test fail that waits for something that never happens.
    timeout(Duration::from_secs(60), test).await.expect("the test ends within its time limit");
}

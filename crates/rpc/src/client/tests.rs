use super::*;
use futures_util::SinkExt;
use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Logger, Record, StringBuf};
use std::cell::Cell;
use std::io;
use std::sync::{Arc, Mutex};
use tokio::io::duplex;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use vanewharf_http1::{LocalReply, ServerCodec};
use vanewharf_runtime::environment::{BoxFuture, Listener};
use yare::parameterized;

const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(300);

/// A network on which the test is the server: it receives the server's end of each connection.
pub(crate) struct TestNetwork {
    connections: mpsc::UnboundedSender<Stream>,
    last_id: Cell<u64>,
}

impl TestNetwork {
    pub(crate) fn new(connections: mpsc::UnboundedSender<Stream>) -> TestNetwork {
        TestNetwork { connections, last_id: Cell::new(0) }
    }
}

impl Network for TestNetwork {
    fn connect(&self, _: SocketAddr) -> BoxFuture<'static, io::Result<Stream>> {
        let (client, server) = duplex(1 << 16);
        let sent =
            self.connections.send(Box::new(server)).map_err(|_| io::ErrorKind::ConnectionRefused.into());
        Box::pin(async move { sent.map(|()| Box::new(client) as Stream) })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn unique_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }
}

fn client_and_connections() -> (RpcClient, mpsc::UnboundedReceiver<Stream>) {
    let (connections, arriving) = mpsc::unbounded_channel();
    let network: Rc<dyn Network> = Rc::new(TestNetwork::new(connections));
    let client = RpcClient::new("10.0.0.1:7600".parse().expect("an address"), &network);
    (client, arriving)
}

/// The server's end of one connection.
pub(crate) struct TestServer(Framed<Stream, ServerCodec>);

impl TestServer {
    pub(crate) async fn accept(arriving: &mut mpsc::UnboundedReceiver<Stream>) -> TestServer {
        let stream = arriving.recv().await.expect("the client connects");
        TestServer(Framed::new(stream, ServerCodec::with_max_body(MAX_BODY_BYTES)))
    }

    /// Returns the path and the id of the next call.
    pub(crate) async fn receive(&mut self) -> (String, Option<String>) {
        let request = self.0.next().await.expect("a call arrives").expect("the call is well-formed");
        (request.target().to_owned(), request.field(CALL_ID).map(str::to_owned))
    }

    async fn respond(&mut self, id: Option<&str>, body: &str) {
        let fields: Vec<_> = id.map(|id| (CALL_ID, id)).into_iter().collect();
        let reply = LocalReply { status: 200, fields: &fields, body: body.as_bytes(), close: false };
        self.0.send(reply).await.expect("the client is connected");
    }
}

pub(crate) async fn run_with_deadline(test: impl Future<Output = ()>) {
    // The limit is in simulated time. It makes a test fail that waits for something that never happens.
    let result = timeout(Duration::from_secs(60), LocalSet::new().run_until(test)).await;
    result.expect("the test ends within its time limit");
}

/// The fault of a response on a reused connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Duplicated,
    Reordered,
    WithoutId,
    Malformed,
}

#[parameterized(
    duplicated = { Fault::Duplicated },
    reordered = { Fault::Reordered },
    without_id = { Fault::WithoutId },
    malformed = { Fault::Malformed },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_response_reaches_only_the_call_that_it_answers(fault: Fault) {
    run_with_deadline(async {
        let (mut client, mut arriving) = client_and_connections();
        let calls = async {
            assert_eq!(client.call::<_, u32>("/pull", &1, INACTIVITY_TIMEOUT).await.expect("answered"), 1);
            client.call::<_, u32>("/pull", &2, INACTIVITY_TIMEOUT).await
        };
        let server = async {
            let mut first = TestServer::accept(&mut arriving).await;
            let (_, id) = first.receive().await;
            first.respond(id.as_deref(), "1").await;
            if fault == Fault::Duplicated {
                // The duplicate arrives when the next call is already in flight.
                first.receive().await;
                first.respond(id.as_deref(), "1").await;
            } else {
                let (_, id) = first.receive().await;
                match fault {
                    Fault::Reordered => first.respond(Some("7-1"), "1").await,
                    Fault::WithoutId => first.respond(None, "1").await,
                    _ => first.0.get_mut().write_all(b"HTP/1 no answer\r\n\r\n").await.expect("connected"),
                }
                assert!(id.is_some());
            }
            if fault != Fault::Malformed {
                assert!(first.0.next().await.is_none(), "the client closes the connection");
                let mut second = TestServer::accept(&mut arriving).await;
                let (_, id) = second.receive().await;
                second.respond(id.as_deref(), "2").await;
            }
        };
        let (response, ()) = tokio::join!(calls, server);
        match fault {
            Fault::Malformed => assert!(matches!(response, Err(RpcError::Malformed)), "{response:?}"),
            _ => assert_eq!(response.expect("the call receives its own response"), 2),
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_late_response_reaches_no_call() {
    run_with_deadline(async {
        let (mut client, mut arriving) = client_and_connections();
        let calls = async {
            assert!(matches!(
                client.call::<_, u32>("/pull", &1, INACTIVITY_TIMEOUT).await,
                Err(RpcError::Timeout)
            ));
            client.call::<_, u32>("/pull", &2, INACTIVITY_TIMEOUT).await.expect("answered")
        };
        let server = async {
            let mut first = TestServer::accept(&mut arriving).await;
            let (_, late) = first.receive().await;
            let mut second = TestServer::accept(&mut arriving).await;
            assert!(first.0.next().await.is_none(), "the client closes the connection");
            let (_, id) = second.receive().await;
            assert_ne!(id, late);
            second.respond(id.as_deref(), "2").await;
        };
        assert_eq!(tokio::join!(calls, server).0, 2);
    })
    .await;
}

/// How a call is expected to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    WithSameId,
    WithNewId,
    Never,
}

/// A reused connection breaks after the request was written, so that the call may have taken effect.
#[parameterized(
    non_idempotent_with_the_same_id = { "/lend", ServerKind::Internal, "POST", Retry::WithSameId },
    idempotent_with_a_new_id = { "/pull", ServerKind::Internal, "POST", Retry::WithNewId },
    external_read_without_id = { "/instances", ServerKind::External, "GET", Retry::WithSameId },
    external_write_never = { "/-/Configuration.Replace", ServerKind::External, "POST", Retry::Never },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_call_that_may_have_arrived_is_retried_only_if_that_is_safe(
    path: &str,
    server: ServerKind,
    method: &str,
    retry: Retry,
) {
    run_with_deadline(async {
        let (mut client, mut arriving) = client_and_connections();
        let calls = async {
            for _ in 0..2 {
                let call = Call { method, path, body: "1", server };
                if let Err(error) = client.send_with_retry(call, INACTIVITY_TIMEOUT).await {
                    assert!(matches!(error, RpcError::ConnectionLost) && retry == Retry::Never, "{error:?}");
                }
            }
        };
        let server = async {
            let mut first = TestServer::accept(&mut arriving).await;
            let (_, id) = first.receive().await;
            first.respond(id.as_deref(), "1").await;
            let (_, id) = first.receive().await;
            drop(first);
            if retry != Retry::Never {
                let mut second = TestServer::accept(&mut arriving).await;
                let (target, retried_id) = second.receive().await;
                assert_eq!((target.as_str(), retried_id == id), (path, retry == Retry::WithSameId));
                second.respond(retried_id.as_deref(), "1").await;
            }
        };
        tokio::join!(calls, server);
        assert!(arriving.try_recv().is_err(), "the client opens no further connection");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_that_received_data_is_not_reused() {
    run_with_deadline(async {
        let (mut client, mut arriving) = client_and_connections();
        let call = || Call { method: "GET", path: "/instances", body: "", server: ServerKind::External };
        let first = async {
            let mut first = TestServer::accept(&mut arriving).await;
            let (_, id) = first.receive().await;
            first.respond(id.as_deref(), "1").await;
            first
        };
        let (_, mut first) = tokio::join!(client.send_with_retry(call(), INACTIVITY_TIMEOUT), first);
        first.respond(None, "1").await;
        let server = async {
            let mut second = TestServer::accept(&mut arriving).await;
            second.receive().await;
            second.respond(None, "2").await;
        };
        let (response, ()) = tokio::join!(client.send_with_retry(call(), INACTIVITY_TIMEOUT), server);
        assert_eq!(response.expect("answered"), RawResponse { status: 200, body: b"2".to_vec() });
    })
    .await;
}

/// A server of either kind answers with bytes that are not HTTP. The platform's list is read in the second way.
#[parameterized(
    status_000_of_a_program = { ServerKind::Internal, "HTTP/1.1 000 X\r\n{id}Content-Length: 1\r\n\r\n1" },
    status_000_of_another_server = { ServerKind::External, "HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\n1" },
    cut_before_a_chunk = {
        ServerKind::External, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n\r\n\r\n"
    },
    trailer_without_colon = {
        ServerKind::External, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\nTail\r\n\r\n"
    },
    empty_line_before_status_line = {
        ServerKind::External, "\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
    },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_malformed_response_is_an_error_and_ends_its_connection(server: ServerKind, text: &str) {
    run_with_deadline(async {
        let (mut client, mut arriving) = client_and_connections();
        let calls = async {
            let call = || Call { method: "GET", path: "/instances", body: "", server };
            let malformed = client.send_with_retry(call(), INACTIVITY_TIMEOUT).await;
            assert!(matches!(malformed, Err(RpcError::Malformed)), "{malformed:?}");
            client.send_with_retry(call(), INACTIVITY_TIMEOUT).await.expect("answered")
        };
        let server = async {
            let mut first = TestServer::accept(&mut arriving).await;
            let (_, id) = first.receive().await;
            let id = id.map_or(String::new(), |id| format!("{CALL_ID}: {id}\r\n"));
            let bytes = text.replace("{id}", &id);
            first.0.get_mut().write_all(bytes.as_bytes()).await.expect("connected");
            let mut second = TestServer::accept(&mut arriving).await;
            assert!(first.0.next().await.is_none(), "the client closes the connection");
            let (_, id) = second.receive().await;
            second.respond(id.as_deref(), "2").await;
        };
        let (response, ()) = tokio::join!(calls, server);
        assert_eq!(response, RawResponse { status: 200, body: b"2".to_vec() });
    })
    .await;
}

/// Keeps the lines of the log.
#[derive(Default)]
struct LogLines {
    prop: SinkProp,
    lines: Mutex<Vec<String>>,
}

impl LogLines {
    fn containing(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("not poisoned");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }
}

impl GetSinkProp for LogLines {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for LogLines {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        FullFormatter::new().format(record, &mut line, &mut FormatterContext::new())?;
        self.lines.lock().expect("not poisoned").push(line.to_string());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

#[tokio::test(start_paused = true)]
async fn the_reason_why_responses_are_malformed_is_logged_once_until_one_is_not() {
    let log = Arc::new(LogLines::default());
    let logger = Logger::builder().sink(Arc::clone(&log) as Arc<dyn Sink>).build();
    spdlog::set_default_logger(Arc::new(logger.expect("a logger")));
    // No other test has this reason, so that their lines are not counted.
    let (malformed, reason) = (
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n\r\n",
        "reason=an HTTP/1.0 answer has a transfer coding",
    );
    run_with_deadline(async {
        let (mut client, mut arriving) = client_and_connections();
        for (is_malformed, logged) in [(true, 1), (true, 1), (false, 1), (true, 2)] {
            let call = Call { method: "GET", path: "/instances", body: "", server: ServerKind::External };
            let server = async {
                let mut server = TestServer::accept(&mut arriving).await;
                server.receive().await;
                let text = if is_malformed { malformed } else { "HTTP/1.0 204 None\r\n\r\n" };
                server.0.get_mut().write_all(text.as_bytes()).await.expect("connected");
            };
            let (response, ()) = tokio::join!(client.send_with_retry(call, INACTIVITY_TIMEOUT), server);
            assert_eq!(response.is_err(), is_malformed, "{response:?}");
            let lines = log.containing(reason);
            assert_eq!(lines.len(), logged, "{lines:?}");
            assert!(lines.iter().all(|line| line.contains("server=10.0.0.1:7600")), "{lines:?}");
        }
    })
    .await;
}

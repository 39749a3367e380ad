//! The shutdown of a server on loopback: calls that were read are answered, and idle connections are closed.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use support::{DEADLINE, on_loopback};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use vanewharf_rpc::{RpcResponse, ServerDrain, serve_until_drained};
use vanewharf_runtime::environment::Listener;
use vanewharf_runtime::invariants::total_violations;

const REQUEST: &[u8] = b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n";

/// Starts a server that notifies `read` of each call and answers it once `release` is notified.
fn start_server(listener: Box<dyn Listener>, read: &Rc<Notify>, release: &Rc<Notify>) -> ServerDrain {
    let drain = ServerDrain::default();
    let (read, release) = (Rc::clone(read), Rc::clone(release));
    let handler = move |_| {
        let (read, release) = (Rc::clone(&read), Rc::clone(&release));
        async move {
            read.notify_one();
            release.notified().await;
            RpcResponse::empty()
        }
    };
    tokio::task::spawn_local(serve_until_drained(listener, handler, drain.clone()));
    drain
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the server listens")
}

/// Returns everything that the server sends until it closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("the server closes the connection without an error");
    text
}

#[test]
fn a_call_in_flight_is_answered_and_idle_connections_are_closed() {
    on_loopback(|listener, address| async move {
        let (read, release) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let drain = start_server(listener, &read, &release);
        let (mut idle, mut busy) = (connect(address).await, connect(address).await);
        busy.write_all(REQUEST).await.expect("the request is sent");
        read.notified().await;
        let shutdown = async {
            drain.shut_down(Instant::now() + DEADLINE).await;
        };
        let clients = async {
            assert_eq!(read_to_end(&mut idle).await, "");
            release.notify_one();
            let response = read_to_end(&mut busy).await;
            assert!(
                response.starts_with("HTTP/1.1 200 ") && response.contains("Connection: close"),
                "{response}"
            );
        };
        tokio::join!(shutdown, clients);
        assert!(TcpStream::connect(address).await.is_err(), "the server must accept no further connection");
        assert_eq!(total_violations(), 0, "violated invariants");
    });
}

#[test]
fn a_call_that_exceeds_the_deadline_is_answered_with_503() {
    on_loopback(|listener, address| async move {
        let (read, release) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let drain = start_server(listener, &read, &release);
        let mut busy = connect(address).await;
        busy.write_all(REQUEST).await.expect("the request is sent");
        read.notified().await;
        drain.shut_down(Instant::now()).await;
        let response = read_to_end(&mut busy).await;
        assert!(response.starts_with("HTTP/1.1 503 ") && response.contains("send it again"), "{response}");
        assert_eq!(total_violations(), 0, "violated invariants");
    });
}

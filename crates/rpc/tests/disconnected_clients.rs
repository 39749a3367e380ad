//! The server on loopback: it notices when a client disconnects during a call, and answers pipelined requests in
//! order.

mod support;

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use support::on_loopback;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use vanewharf_http1::Request;
use vanewharf_rpc::{RpcResponse, serve};

fn request(path: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{{}}").into_bytes()
}

/// Returns a response whose body is the request's path.
fn echo(request: &Request) -> RpcResponse {
    RpcResponse { status: 200, headers: Vec::new(), body: request.target().as_bytes().to_vec() }
}

/// Makes a complete call on a connection of its own.
async fn complete_call(address: SocketAddr, path: &str) {
    let mut client = TcpStream::connect(address).await.expect("the server listens");
    client.write_all(&request(path)).await.expect("the request is sent");
    client.read_u8().await.expect("a response arrives");
}

/// Sends a message when dropped.
struct NotifyOnDrop(mpsc::UnboundedSender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

#[test]
fn a_handler_whose_client_disconnects_is_dropped_at_its_await_point() {
    on_loopback(|listener, address| async move {
        let (started, mut is_started) = mpsc::unbounded_channel();
        let (dropped, mut is_dropped) = mpsc::unbounded_channel();
        tokio::task::spawn_local(serve(listener, move |request| {
            let (started, guard) = (started.clone(), NotifyOnDrop(dropped.clone()));
            async move {
                let _ = started.send(());
                std::future::pending::<()>().await;
                drop(guard);
                echo(&request)
            }
        }));
        let mut client = TcpStream::connect(address).await.expect("the server listens");
        client.write_all(&request("/wait")).await.expect("the request is sent");
        is_started.recv().await.expect("the handler starts");
        drop(client);
        is_dropped.recv().await.expect("the handler is dropped");
    });
}

#[test]
fn a_request_that_arrives_with_the_end_of_its_connection_is_not_handled() {
    on_loopback(|listener, address| async move {
        // The request and the end of the connection are both sent before the server first runs.
        let mut client = std::net::TcpStream::connect(address).expect("the connection fits into the backlog");
        client.write_all(&request("/late")).expect("the request is sent");
        drop(client);
        let handled = Rc::new(RefCell::new(Vec::new()));
        let handler_log = Rc::clone(&handled);
        tokio::task::spawn_local(serve(listener, move |request| {
            let handled = Rc::clone(&handler_log);
            async move {
                handled.borrow_mut().push(request.target().to_owned());
                echo(&request)
            }
        }));
        // The server has read the first request once a later one is answered.
        complete_call(address, "/next").await;
        assert_eq!(*handled.borrow(), ["/next"]);
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    on_loopback(|listener, address| async move {
        let resume = Rc::new(Notify::new());
        let resumed = Rc::clone(&resume);
        tokio::task::spawn_local(serve(listener, move |request| {
            let resumed = Rc::clone(&resumed);
            async move {
                if request.target() == "/1" {
                    resumed.notified().await;
                }
                echo(&request)
            }
        }));
        let mut client = TcpStream::connect(address).await.expect("the server listens");
        let requests: Vec<u8> = ["/1", "/2", "/3"].iter().flat_map(|path| request(path)).collect();
        client.write_all(&requests).await.expect("the request is sent");
        complete_call(address, "/4").await;
        resume.notify_one();
        let (mut text, mut buffer) = (String::new(), [0; 1024]);
        while text.matches("\r\n\r\n/").count() < 3 {
            let length = client.read(&mut buffer).await.expect("the connection is open");
            assert!(length > 0, "the connection ended after {text}");
            text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        }
        let positions = ["/1", "/2", "/3"].map(|path| text.find(path).expect("each response is present"));
        assert!(positions.is_sorted(), "{text}");
    });
}

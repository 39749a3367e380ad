//! The server of the system's own calls, on loopback: a caller that goes away is noticed, one that asks on is not lost.

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;
use tokio::time::timeout;
use vanewharf_http1::Request;
use vanewharf_rpc::{RpcResponse, serve};
use vanewharf_runtime::environment::{Environment, Listener};

const LONG: Duration = Duration::from_secs(20);

fn on_loopback<F: Future<Output = ()>>(test: impl FnOnce(Box<dyn Listener>, SocketAddr) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let premises = Environment::of_machine(None).expect("no disk is needed");
        // A port that was free a moment ago.
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr();
        let at = free.expect("an address");
        let ear = premises.network.listen(at).expect("it is free");
        timeout(LONG, test(ear, at)).await.expect("in time");
    }));
}

fn request(path: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{{}}").into_bytes()
}

fn said(request: &Request) -> RpcResponse {
    RpcResponse { status: 200, headers: Vec::new(), body: request.target().as_bytes().to_vec() }
}

/// Another caller's whole call.
async fn served(at: SocketAddr, path: &str) {
    let mut caller = TcpStream::connect(at).await.expect("it listens");
    caller.write_all(&request(path)).await.expect("sent");
    caller.read_u8().await.expect("an answer");
}

/// Tells when it is dropped.
struct Told(mpsc::UnboundedSender<()>);

impl Drop for Told {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

#[test]
fn a_handler_whose_caller_has_gone_is_dropped_where_it_stands() {
    on_loopback(|ear, at| async move {
        let (begun, mut is_begun) = mpsc::unbounded_channel();
        let (dropped, mut is_dropped) = mpsc::unbounded_channel();
        tokio::task::spawn_local(serve(ear, move |request| {
            let (begun, told) = (begun.clone(), Told(dropped.clone()));
            async move {
                let _ = begun.send(());
                std::future::pending::<()>().await;
                drop(told);
                said(&request)
            }
        }));
        let mut caller = TcpStream::connect(at).await.expect("it listens");
        caller.write_all(&request("/wait")).await.expect("sent");
        is_begun.recv().await.expect("begun");
        drop(caller);
        is_dropped.recv().await.expect("dropped");
    });
}

#[test]
fn what_comes_together_with_its_end_is_not_begun() {
    on_loopback(|ear, at| async move {
        // Both are there before the server looks: it does not run until they were sent.
        let mut caller = std::net::TcpStream::connect(at).expect("the system's queue takes it");
        caller.write_all(&request("/late")).expect("sent");
        drop(caller);
        let begun = Rc::new(RefCell::new(Vec::new()));
        let heard = Rc::clone(&begun);
        tokio::task::spawn_local(serve(ear, move |request| {
            let heard = Rc::clone(&heard);
            async move {
                heard.borrow_mut().push(request.target().to_owned());
                said(&request)
            }
        }));
        // By the time that one which came after it is answered, the first one was looked at.
        served(at, "/next").await;
        assert_eq!(*begun.borrow(), ["/next"]);
    });
}

#[test]
fn requests_that_come_while_one_is_at_work_are_answered_in_their_order() {
    on_loopback(|ear, at| async move {
        let go = Rc::new(Notify::new());
        let held = Rc::clone(&go);
        tokio::task::spawn_local(serve(ear, move |request| {
            let held = Rc::clone(&held);
            async move {
                if request.target() == "/1" {
                    held.notified().await;
                }
                said(&request)
            }
        }));
        let mut caller = TcpStream::connect(at).await.expect("it listens");
        let all: Vec<u8> = ["/1", "/2", "/3"].iter().flat_map(|path| request(path)).collect();
        caller.write_all(&all).await.expect("sent");
        served(at, "/4").await;
        go.notify_one();
        let (mut text, mut part) = (String::new(), [0; 1024]);
        while text.matches("\r\n\r\n/").count() < 3 {
            let read = caller.read(&mut part).await.expect("answers");
            assert!(read > 0, "it ended after {text}");
            text.push_str(&String::from_utf8_lossy(&part[..read]));
        }
        let found = ["/1", "/2", "/3"].map(|path| text.find(path).expect("there"));
        assert!(found.is_sorted(), "{text}");
    });
}

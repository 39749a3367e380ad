//! The server: a task for each connection, whose requests are answered one after the other.

mod connection;
mod dispatcher;

use connection::ServerConnection;
use dispatcher::Dispatcher;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_http1::Request;
use vanewharf_runtime::environment::{Listener, Stream};

use crate::response::RpcResponse;

/// Connections at a time; more are closed at once.
const MAX_CONNECTIONS: usize = 1500;
/// Until the next attempt, where accepting a connection fails.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves for as long as the program runs.
pub async fn serve<H, F>(listener: Box<dyn Listener>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    accept_connections(listener, Dispatcher::new(handler)).await;
}

/// Serves the system's own calls: one that arrives again is not handled again. Its response is that which was
/// given before, where the effects of such calls add up, and status 409 otherwise.
pub async fn serve_deduplicated<H, F>(listener: Box<dyn Listener>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    accept_connections(listener, Dispatcher::with_deduplication(handler)).await;
}

async fn accept_connections<H, F>(mut listener: Box<dyn Listener>, dispatcher: Dispatcher<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    let dispatcher = Rc::new(dispatcher);
    let connections = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok(stream) if connections.get() < MAX_CONNECTIONS => {
                let (dispatcher, connections) = (Rc::clone(&dispatcher), Rc::clone(&connections));
                connections.set(connections.get() + 1);
                tokio::task::spawn_local(async move {
                    serve_connection(stream, &dispatcher).await;
                    connections.set(connections.get() - 1);
                });
            }
            // Closed, so that the client tries another server.
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H, F>(stream: Stream, dispatcher: &Dispatcher<H>)
where
    H: Fn(Request) -> F,
    F: Future<Output = RpcResponse>,
{
    let mut connection = ServerConnection::new(stream);
    while let Some(exchange) = connection.read_request().await {
        let is_open = match exchange {
            Ok(request) => connection.answer(request, dispatcher).await,
            Err(refusal) => connection.refuse(refusal).await,
        };
        if !is_open {
            return;
        }
    }
}

//! The server. Each connection has its own task, which answers the requests one after another.

mod connection;
mod dispatcher;
mod drain;

use connection::ServerConnection;
use dispatcher::Dispatcher;
pub use drain::ServerDrain;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use vanewharf_http1::Request;
use vanewharf_runtime::environment::{Listener, Stream};

use crate::response::RpcResponse;

/// The maximum number of open connections; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 1500;
/// The delay before the next attempt after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests as long as the program runs.
pub async fn serve<H, F>(listener: Box<dyn Listener>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    serve_until_drained(listener, handler, ServerDrain::default()).await;
}

/// Serves requests until the program shuts down; see [`ServerDrain::shut_down`].
pub async fn serve_until_drained<H, F>(listener: Box<dyn Listener>, handler: H, drain: ServerDrain)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    accept_connections(listener, Dispatcher::new(handler), drain).await;
}

/// Serves internal calls, and handles a call that arrives repeatedly only once. A repeated call receives the recorded
/// response if it is not idempotent, and status 409 otherwise.
pub async fn serve_deduplicated<H, F>(listener: Box<dyn Listener>, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    serve_deduplicated_until_drained(listener, handler, ServerDrain::default()).await;
}

/// Serves internal calls until the program shuts down; see [`serve_deduplicated`].
pub async fn serve_deduplicated_until_drained<H, F>(
    listener: Box<dyn Listener>,
    handler: H,
    drain: ServerDrain,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    accept_connections(listener, Dispatcher::with_deduplication(handler), drain).await;
}

async fn accept_connections<H, F>(
    mut listener: Box<dyn Listener>,
    dispatcher: Dispatcher<H>,
    drain: ServerDrain,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = RpcResponse>,
{
    let dispatcher = Rc::new(dispatcher);
    let connections = Rc::new(Cell::new(0));
    loop {
        // This is cancel safe: `accept` loses no connection.
        let accepted = tokio::select! {
            biased;
            () = drain.wait_for_drain() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(stream) if connections.get() < MAX_CONNECTIONS => {
                let (dispatcher, connections) = (Rc::clone(&dispatcher), Rc::clone(&connections));
                let drain = drain.clone();
                connections.set(connections.get() + 1);
                tokio::task::spawn_local(async move {
                    serve_connection(stream, &dispatcher, drain).await;
                    connections.set(connections.get() - 1);
                });
            }
            // The connection is closed, so that the client tries another server.
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H, F>(stream: Stream, dispatcher: &Dispatcher<H>, drain: ServerDrain)
where
    H: Fn(Request) -> F,
    F: Future<Output = RpcResponse>,
{
    let mut connection = ServerConnection::new(stream, drain.clone());
    while let Some(request) = connection.read_request().await {
        let _open_call = drain.open_call();
        let is_open = match request {
            Ok(request) => connection.respond(request, dispatcher).await,
            Err(response) => connection.reject(response).await,
        };
        if !is_open {
            return;
        }
    }
}

//! The task of the listening socket, which accepts clients and spawns a task for each.

use crate::client_connection::ClientConnection;
use crate::counters::Counter;
use crate::messages::RouterMessage;
use crate::resources::{SocketGuard, SocketKind};
use crate::shared::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long to wait for a socket to close before trying to accept again.
const SOCKET_WAIT: Duration = Duration::from_millis(50);

/// Accepts clients until `stop` is notified, and then those that are still in the listening socket's queue.
pub async fn accept_clients(listener: TcpListener, shared: Rc<Shared>, stop: Rc<Notify>) {
    accept_until_stopped(&listener, &shared, &stop).await;
    accept_backlog(listener, &shared);
}

async fn accept_until_stopped(listener: &TcpListener, shared: &Rc<Shared>, stop: &Notify) {
    let resources = &shared.resources;
    let mut failing = false;
    loop {
        if resources.should_close_idle() {
            close_idle_connection(shared);
        }
        if resources.is_accept_paused() {
            // Cancel safe: if a notification is lost, the timeout ends the wait.
            tokio::select! {
                _ = timeout(SOCKET_WAIT, resources.socket_closed.notified()) => continue,
                () = stop.notified() => return,
            }
        }
        // Cancel safe: `accept` takes no client from the queue unless it completes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                failing = false;
                spawn_client(stream, shared);
            }
            Err(error) => {
                resources.count(Counter::AcceptFailed);
                // Logged once per outage, because a line for each failure could fill the disk.
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "cannot accept clients");
                }
                close_idle_connection(shared);
                let _ = timeout(SOCKET_WAIT, resources.socket_closed.notified()).await;
            }
        }
    }
}

/// Accepts the clients in the listening socket's queue: they are connected and may have sent requests already.
fn accept_backlog(listener: TcpListener, shared: &Rc<Shared>) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => spawn_client(stream, shared),
            Err(error) => tracing::warn!(%error, "cannot register an accepted client's socket; closing it"),
        }
    }
}

/// Frees a socket by closing an idle connection, a client's if possible: connections to backends serve all clients
/// and are expensive to open.
fn close_idle_connection(shared: &Shared) {
    if !shared.resources.close_longest_idle_client() {
        shared.notify_router(RouterMessage::CloseIdleConnection);
    }
}

fn spawn_client(stream: TcpStream, shared: &Rc<Shared>) {
    shared.resources.count(Counter::ClientsAccepted);
    let guard = SocketGuard::new(&shared.resources, SocketKind::Client);
    tokio::task::spawn_local(ClientConnection::new(stream, guard, Rc::clone(shared)).run());
}

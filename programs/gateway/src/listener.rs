//! Accepts clients: one task for the listening socket, which spawns one for each client.

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

/// How long a closed socket is waited for before accepting is tried again.
const SOCKET_WAIT: Duration = Duration::from_millis(50);

/// Accepts clients until `stop` is notified, and then those that the system has accepted already.
pub async fn accept_clients(listener: TcpListener, shared: Rc<Shared>, stop: Rc<Notify>) {
    accept_until_stopped(&listener, &shared, &stop).await;
    accept_backlog(listener, &shared);
}

async fn accept_until_stopped(listener: &TcpListener, shared: &Rc<Shared>, stop: &Notify) {
    let resources = &shared.resources;
    let mut failing = false;
    loop {
        if resources.is_crowded() {
            close_idle_connection(shared);
        }
        if resources.is_full() {
            // Cancel safe: a notification that is lost is made up for by the timeout.
            tokio::select! {
                _ = timeout(SOCKET_WAIT, resources.socket_closed.notified()) => continue,
                () = stop.notified() => return,
            }
        }
        // Cancel safe: accept takes no client from the system's queue unless it completes.
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
                // Once for each outage: a log line for each failure could fill the disk.
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "no client accepted");
                }
                close_idle_connection(shared);
                let _ = timeout(SOCKET_WAIT, resources.socket_closed.notified()).await;
            }
        }
    }
}

/// Takes the clients in the system's queue: they have connected, so their requests count as accepted.
fn accept_backlog(listener: TcpListener, shared: &Rc<Shared>) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => spawn_client(stream, shared),
            Err(error) => tracing::warn!(%error, "an accepted client is lost"),
        }
    }
}

/// Frees a socket. Idle clients go first: a connection to a backend is used for all clients and expensive to open.
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

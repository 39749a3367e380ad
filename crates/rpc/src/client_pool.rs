//! A pool of clients for several servers, with several clients for one server if calls to it overlap.
//!
//! A client is reused even after a failed call. Its next call has a higher sequence number, so that a server which has
//! received the next call recognizes the failed one if the network delivers it late, and does not execute it.

use crate::RpcClient;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use vanewharf_runtime::environment::Network;

/// The maximum number of idle clients that the pool keeps for one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// A pool of idle clients.
pub struct ClientPool {
    network: Rc<dyn Network>,
    /// The idle clients, the most recently used ones last.
    idle: RefCell<Vec<RpcClient>>,
}

impl ClientPool {
    /// Creates an empty pool.
    pub fn new(network: &Rc<dyn Network>) -> ClientPool {
        ClientPool { network: Rc::clone(network), idle: RefCell::default() }
    }

    /// Returns the most recently used idle client for the server, or a new client if none is idle.
    pub fn client(&self, server: SocketAddr) -> PooledClient<'_> {
        let mut idle = self.idle.borrow_mut();
        let last_used = idle.iter().rposition(|client| client.address == server);
        let client = last_used.map(|index| idle.remove(index));
        let client = client.unwrap_or_else(|| RpcClient::new(server, &self.network));
        PooledClient { pool: self, client: Some(client) }
    }

    fn release(&self, client: RpcClient) {
        let mut idle = self.idle.borrow_mut();
        let is_same_server = |other: &RpcClient| other.address == client.address;
        if idle.iter().filter(|other| is_same_server(other)).count() >= MAX_IDLE_PER_SERVER
            && let Some(oldest) = idle.iter().position(is_same_server)
        {
            idle.remove(oldest);
        }
        idle.push(client);
    }
}

/// A client that returns to its pool when this guard is dropped, even if its call failed or was cancelled.
pub struct PooledClient<'a> {
    pool: &'a ClientPool,
    /// The client; `None` only while the guard is being dropped.
    client: Option<RpcClient>,
}

impl Deref for PooledClient<'_> {
    type Target = RpcClient;

    fn deref(&self) -> &RpcClient {
        self.client.as_ref().expect("the client is present until the drop")
    }
}

impl DerefMut for PooledClient<'_> {
    fn deref_mut(&mut self) -> &mut RpcClient {
        self.client.as_mut().expect("the client is present until the drop")
    }
}

impl Drop for PooledClient<'_> {
    fn drop(&mut self) {
        self.client.take().into_iter().for_each(|client| self.pool.release(client));
    }
}

#[cfg(test)]
mod tests;

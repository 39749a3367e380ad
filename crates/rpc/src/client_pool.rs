//! Clients of several servers, several of one where its calls overlap.
//!
//! A client is used again also after a call that failed: its next call has a higher number, so that a server which has
//! received that recognizes the failed one, should the network still bring it, and gives it no effect.

use crate::RpcClient;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use vanewharf_runtime::environment::Network;

/// The most idle clients that are kept of one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Idle clients, the last used ones at the end.
pub struct ClientPool {
    network: Rc<dyn Network>,
    idle: RefCell<Vec<RpcClient>>,
}

impl ClientPool {
    /// A pool without clients.
    pub fn new(network: &Rc<dyn Network>) -> ClientPool {
        ClientPool { network: Rc::clone(network), idle: RefCell::default() }
    }

    /// The client of that server that was used last, or a new one where all are in use.
    pub fn client(&self, server: SocketAddr) -> PooledClient<'_> {
        let mut idle = self.idle.borrow_mut();
        let last_used = idle.iter().rposition(|client| client.address == server);
        let client = last_used.map(|index| idle.remove(index));
        let client = client.unwrap_or_else(|| RpcClient::new(server, &self.network));
        PooledClient { pool: self, client: Some(client) }
    }

    fn put_back(&self, client: RpcClient) {
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

/// A client that goes back to its pool when it is dropped, also where its call failed or was cancelled.
pub struct PooledClient<'a> {
    pool: &'a ClientPool,
    /// Taken when it is dropped.
    client: Option<RpcClient>,
}

impl Deref for PooledClient<'_> {
    type Target = RpcClient;

    fn deref(&self) -> &RpcClient {
        self.client.as_ref().expect("it is not dropped")
    }
}

impl DerefMut for PooledClient<'_> {
    fn deref_mut(&mut self) -> &mut RpcClient {
        self.client.as_mut().expect("it is not dropped")
    }
}

impl Drop for PooledClient<'_> {
    fn drop(&mut self) {
        self.client.take().into_iter().for_each(|client| self.pool.put_back(client));
    }
}

#[cfg(test)]
mod tests;

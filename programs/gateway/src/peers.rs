//! Messages between gateways over UDP. Each datagram holds the sender's number (four bytes, big-endian) and one
//! message, encoded by [`vanewharf_policy::codec`].
//!
//! A received datagram is counted and dropped if it is too long, malformed, not from a gateway of the operator's
//! list, or beyond the configured rate. Lost datagrams are not detected. The policy decides what to send.

use crate::counters::Counter;
use crate::messages::RouterMessage;
use crate::shared::Shared;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use vanewharf_policy::codec;
use vanewharf_policy::interface::{GatewayId, PeerMessage};

const SENDER_BYTES: usize = size_of::<u32>();
/// One byte more than the longest valid datagram, so that longer ones are detected.
const BUFFER_BYTES: usize = SENDER_BYTES + codec::MAX_BYTES + 1;

/// The socket on which this gateway exchanges messages with the others.
pub struct PeerSocket {
    socket: UdpSocket,
    /// The gateways' addresses, indexed by gateway number.
    gateways: Vec<SocketAddr>,
    own_number: GatewayId,
}

impl PeerSocket {
    /// Binds the socket. `gateways` holds the addresses of all gateways, indexed by gateway number.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        gateways: Vec<SocketAddr>,
        own_number: GatewayId,
    ) -> std::io::Result<PeerSocket> {
        Ok(PeerSocket { socket: UdpSocket::bind(address).await?, gateways, own_number })
    }

    /// Sends a message without waiting. Returns false if the send buffer is full, sending fails or the gateway is not
    /// listed; the message is then lost, as it might be in the network.
    pub fn try_send(&self, to: GatewayId, message: &PeerMessage) -> bool {
        let datagram = [&self.own_number.0.to_be_bytes()[..], &codec::encode(message)].concat();
        let address = self.gateways.get(to.0 as usize);
        address.is_some_and(|address| self.socket.try_send_to(&datagram, *address).is_ok())
    }

    /// Decodes the sender and its message; returns `None` if the datagram must be dropped.
    fn decode(&self, datagram: &[u8], address: SocketAddr) -> Option<(GatewayId, PeerMessage)> {
        let (number, body) = datagram.split_first_chunk::<SENDER_BYTES>()?;
        let from = GatewayId(u32::from_be_bytes(*number));
        // The sender's address must belong to the number that it states.
        let listed = self.gateways.get(from.0 as usize) == Some(&address) && from != self.own_number;
        let message = codec::decode(body).filter(|_| listed && body.len() <= codec::MAX_BYTES)?;
        Some((from, message))
    }

    /// Receives messages and passes them to the router, at most `max_per_s` per second.
    pub async fn receive(self: Rc<PeerSocket>, max_per_s: f64, shared: Rc<Shared>) {
        let mut rate = RateLimiter::new(max_per_s, Instant::now());
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            // The operating system reports some undelivered datagrams as errors of the next receive call.
            let Ok((length, address)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            match self.decode(&buffer[..length], address).filter(|_| rate.try_acquire(Instant::now())) {
                Some((from, message)) => {
                    shared.resources.count(Counter::PeerMessagesReceived);
                    shared.notify_router(RouterMessage::PeerMessage(from, message));
                }
                None => shared.resources.count(Counter::PeerMessagesDropped),
            }
        }
    }
}

/// A token bucket with a capacity of one second's tokens.
struct RateLimiter {
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    fn new(tokens_per_s: f64, now: Instant) -> RateLimiter {
        RateLimiter { tokens_per_s, tokens: tokens_per_s, refilled_at: now }
    }

    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.tokens_per_s * elapsed).min(self.tokens_per_s);
        self.refilled_at = now;
        let acquired = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(acquired));
        acquired
    }
}

#[cfg(test)]
mod tests;

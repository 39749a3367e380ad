//! Words between doors, a datagram each: the sender's number (four bytes, big end first) and the letter. A
//! datagram that is lost, too long, unreadable, from no door of the operator's list, or beyond the told
//! rate is counted and changes nothing else. Nothing here decides what to say.

use crate::counters::Counter;
use crate::messages::RouterMessage;
use crate::shared::Shared;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use vanewharf_policy::codec;
use vanewharf_policy::interface::{GatewayId, PeerMessage};

const NUMBER: usize = size_of::<u32>();

pub struct Peers {
    socket: UdpSocket,
    /// By number.
    doors: Vec<SocketAddr>,
    me: GatewayId,
}

impl Peers {
    pub async fn listen(listen: SocketAddr, doors: Vec<SocketAddr>, me: GatewayId) -> std::io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, doors, me })
    }

    /// False where the system takes no more or the door is not listed: the word is lost then, as it might be
    /// on its way.
    pub fn tell(&self, to: GatewayId, word: &PeerMessage) -> bool {
        let datagram = [&self.me.0.to_be_bytes()[..], &codec::encode(word)].concat();
        let address = self.doors.get(to.0 as usize);
        address.is_some_and(|address| self.socket.try_send_to(&datagram, *address).is_ok())
    }

    fn read(&self, datagram: &[u8], address: SocketAddr) -> Option<(GatewayId, PeerMessage)> {
        let (number, letter) = datagram.split_first_chunk::<NUMBER>()?;
        let from = GatewayId(u32::from_be_bytes(*number));
        // A door answers for its own number only.
        let listed = self.doors.get(from.0 as usize) == Some(&address) && from != self.me;
        let word = codec::decode(letter).filter(|_| listed && letter.len() <= codec::MAX_BYTES)?;
        Some((from, word))
    }

    pub async fn hear(self: Rc<Peers>, per_s: f64, shared: Rc<Shared>) {
        let mut intake = Intake { per_s, room: per_s, at: Instant::now() };
        // One byte more than any that is taken, so that a longer one shows.
        let mut buffer = [0; NUMBER + codec::MAX_BYTES + 1];
        loop {
            // An error is a word that never came; the system reports some of those.
            let Ok((length, address)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            match self.read(&buffer[..length], address).filter(|_| intake.takes(Instant::now())) {
                Some((from, word)) => {
                    shared.resources.count(Counter::PeerMessagesReceived);
                    shared.notify_router(RouterMessage::PeerMessage(from, word));
                }
                None => shared.resources.count(Counter::PeerMessagesDropped),
            }
        }
    }
}

/// No more than a second's words at once, and so many a second.
struct Intake {
    per_s: f64,
    room: f64,
    at: Instant,
}

impl Intake {
    fn takes(&mut self, now: Instant) -> bool {
        self.room = (self.room + self.per_s * (now - self.at).as_secs_f64()).min(self.per_s);
        self.at = now;
        let takes = self.room >= 1.0;
        self.room -= f64::from(u8::from(takes));
        takes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn a_flood_is_taken_in_at_the_told_rate() {
        let at = Instant::now();
        let mut intake = Intake { per_s: 40.0, room: 40.0, at };
        let taken = (0..4_000).filter(|no| intake.takes(at + Duration::from_millis(*no / 2))).count();
        assert!((115..=125).contains(&taken), "40 at once and 40 a second for 2 s: {taken}");
    }
}

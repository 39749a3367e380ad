//! Subnets of the loopback network, one for each cluster, so that tests which run in parallel use different addresses.

use crate::platform::lock;
use rand::Rng;
use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::ops::Range;
use std::sync::Mutex;

/// The numbers that are drawn for the second and third part of a subnet's addresses.
const NUMBERS: Range<u8> = 1..250;
/// The address and port that reserve a subnet. No machine of a cluster has this host number.
const RESERVATION_HOST: u8 = 254;
const RESERVATION_PORT: u16 = 9254;
/// More draws than it takes to find a free subnet, unless almost all are in use.
const MAX_DRAWS: usize = 1000;

/// The sockets that reserve subnets for this process, until it ends.
static RESERVATIONS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// The subnet 127.x.y.0/24 of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Subnet([u8; 2]);

impl Subnet {
    /// Returns a subnet that no other cluster uses, in this process or in another one.
    ///
    /// # Panics
    ///
    /// If no free subnet is found.
    pub fn reserve() -> Subnet {
        Subnet(reserve_numbers(NUMBERS))
    }

    /// Returns the address of a host of the subnet; host numbers go up to 253.
    pub fn ip(self, host: usize) -> IpAddr {
        IpAddr::from([127, self.0[0], self.0[1], host as u8])
    }

    /// Returns the second and third part of the subnet's addresses.
    pub fn numbers(self) -> [u8; 2] {
        self.0
    }
}

/// Reserves a subnet whose numbers are in this range, and returns them.
///
/// # Panics
///
/// If no free subnet is found.
pub fn reserve_numbers(range: Range<u8>) -> [u8; 2] {
    let mut random = rand::rng();
    for _ in 0..MAX_DRAWS {
        let numbers = [random.random_range(range.clone()), random.random_range(range.clone())];
        let address = Ipv4Addr::new(127, numbers[0], numbers[1], RESERVATION_HOST);
        if let Ok(socket) = UdpSocket::bind((address, RESERVATION_PORT)) {
            lock(&RESERVATIONS).push(socket);
            return numbers;
        }
    }
    panic!("no free subnet of 127.0.0.0/8 found in {MAX_DRAWS} draws");
}

#[cfg(test)]
mod tests;

//! Operators: they send configurations and evacuations until the outcome is clear, and read the newest configuration.

use crate::history::{ConfigurationRead, Order, SharedHistory};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::{Message, read_message, write_message};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// For one controller's answer; then another one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REDIRECTIONS: usize = 2;
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(40);
const PAUSE_BETWEEN_ORDERS_MS: std::ops::Range<u64> = 5..60;

/// Calls the controllers of one cluster.
#[derive(Clone)]
pub struct Operator {
    /// Where they listen for operators.
    pub controllers: Vec<SocketAddr>,
    /// Where what is seen is recorded.
    pub history: SharedHistory,
}

impl Operator {
    /// Sends ever newer configurations until told to stop; `last_revision` is shared with other operators.
    pub fn replace_configurations(&self, last_revision: &AtomicU64, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let revision = last_revision.fetch_add(1, Ordering::Relaxed) + 1;
            self.replace_configuration(revision, || stop.load(Ordering::Relaxed));
            sleep(Duration::from_millis(rand::rng().random_range(PAUSE_BETWEEN_ORDERS_MS)));
        }
    }

    /// Sends one configuration until its outcome is clear or `gives_up`; returns whether it was acknowledged.
    pub fn replace_configuration(&self, revision: u64, gives_up: impl Fn() -> bool) -> bool {
        let body = config(revision, |_| {});
        let status = self.send_until_clear("POST", "/-/Configuration.Replace", &body, gives_up);
        let acknowledged = (status == Some(200)).then(Instant::now);
        let refused = status.filter(|status| *status != 200);
        self.history.lock().orders.push(Order { revision, acknowledged, refused });
        acknowledged.is_some()
    }

    /// Begins and ends the evacuation of a zone by turns until told to stop.
    pub fn evacuate_by_turns(&self, zone: &str, stop: &AtomicBool) {
        for call in ["Begin", "Finish"].into_iter().cycle() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let path = format!("/-/Evacuation.{call}/{zone}");
            self.send_until_clear("POST", &path, "", || stop.load(Ordering::Relaxed));
            sleep(Duration::from_millis(rand::rng().random_range(PAUSE_BETWEEN_ORDERS_MS)));
        }
    }

    /// Reads the configuration until told to stop.
    pub fn read_configurations(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            self.read_configuration();
            sleep(PAUSE_AFTER_FAILURE);
        }
    }

    /// Reads the configuration once; its number, where a controller is certain of the newest.
    pub fn read_configuration(&self) -> Option<u64> {
        let sent = Instant::now();
        let answer = self.call("GET", "/-/Configuration.Read", "").ok()?;
        let configuration: serde_json::Value =
            serde_json::from_str(&answer.body).ok().filter(|_| answer.status() == 200)?;
        let revision = configuration["revision"].as_str()?.strip_prefix('r')?.parse().ok()?;
        self.history.lock().reads.push(ConfigurationRead { sent, revision });
        Some(revision)
    }

    /// Sends a call to one controller after the other until one answers it clearly; its status.
    pub fn send_until_clear(
        &self,
        method: &str,
        path: &str,
        body: &str,
        gives_up: impl Fn() -> bool,
    ) -> Option<u16> {
        while !gives_up() {
            let status = self.call(method, path, body).map(|answer| answer.status()).unwrap_or(0);
            // Neither redirections without a leaseholder nor failures are clear.
            if (200..300).contains(&status) || (400..500).contains(&status) {
                return Some(status);
            }
            sleep(PAUSE_AFTER_FAILURE);
        }
        None
    }

    /// Calls a controller drawn at random, and those that it names instead.
    fn call(&self, method: &str, path: &str, body: &str) -> io::Result<Message> {
        let drawn = self.controllers.choose(&mut rand::rng()).copied();
        let mut to = drawn.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let mut answer = call_once(to, method, path, body)?;
        for _ in 0..MAX_REDIRECTIONS {
            let Some(location) = answer.header("Location").filter(|_| answer.status() == 307) else {
                break;
            };
            let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
            to = authority.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            answer = call_once(to, method, path, body)?;
        }
        Ok(answer)
    }
}

fn call_once(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let host = to.to_string();
    write_message(&mut stream, &format!("{method} {path} HTTP/1.1"), &[("Host", &host)], body)?;
    read_message(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

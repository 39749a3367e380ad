//! Operators, which send configurations and evacuations until the outcome is definite, and read the configuration.

use crate::history::{ConfigurationRead, ConfigurationReplacement, SharedHistory};
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
/// Time after which an operator gives up waiting for a controller and tries another one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REDIRECTIONS: usize = 2;
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(40);
const PAUSE_BETWEEN_COMMANDS_MS: std::ops::Range<u64> = 5..60;

/// An operator of one cluster.
#[derive(Clone)]
pub struct Operator {
    /// Addresses on which the controllers accept requests of operators.
    pub controllers: Vec<SocketAddr>,
    /// The history in which the operator records outcomes.
    pub history: SharedHistory,
}

impl Operator {
    /// Sends configurations with increasing revisions until `stop` is set. `last_revision` is shared with other operators.
    pub fn replace_configurations(&self, last_revision: &AtomicU64, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let revision = last_revision.fetch_add(1, Ordering::Relaxed) + 1;
            self.replace_configuration(revision, || stop.load(Ordering::Relaxed));
            sleep(Duration::from_millis(rand::rng().random_range(PAUSE_BETWEEN_COMMANDS_MS)));
        }
    }

    /// Sends one configuration until its outcome is definite or `gives_up` returns true. Returns whether it was
    /// acknowledged.
    pub fn replace_configuration(&self, revision: u64, gives_up: impl Fn() -> bool) -> bool {
        let body = config(revision, |_| {});
        let status = self.send_until_definite("POST", "/-/Configuration.Replace", &body, gives_up);
        let acknowledged = (status == Some(200)).then(Instant::now);
        let rejected = status.filter(|status| *status != 200);
        self.history.lock().replacements.push(ConfigurationReplacement { revision, acknowledged, rejected });
        acknowledged.is_some()
    }

    /// Begins and finishes the evacuation of a zone alternately until `stop` is set.
    pub fn toggle_evacuation(&self, zone: &str, stop: &AtomicBool) {
        for call in ["Begin", "Finish"].into_iter().cycle() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let path = format!("/-/Evacuation.{call}/{zone}");
            self.send_until_definite("POST", &path, "", || stop.load(Ordering::Relaxed));
            sleep(Duration::from_millis(rand::rng().random_range(PAUSE_BETWEEN_COMMANDS_MS)));
        }
    }

    /// Reads the configuration repeatedly until `stop` is set.
    pub fn read_configurations(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            self.read_configuration();
            sleep(PAUSE_AFTER_FAILURE);
        }
    }

    /// Reads the configuration once. Returns its revision, or `None` if no controller returned it.
    pub fn read_configuration(&self) -> Option<u64> {
        let sent = Instant::now();
        let response = self.call("GET", "/-/Configuration.Read", "").ok()?;
        let configuration: serde_json::Value =
            serde_json::from_str(&response.body).ok().filter(|_| response.status() == 200)?;
        let revision = configuration["revision"].as_str()?.strip_prefix('r')?.parse().ok()?;
        self.history.lock().reads.push(ConfigurationRead { sent, revision });
        Some(revision)
    }

    /// Sends a request until a controller responds with 2xx or 4xx, and returns that status. Returns `None` if `gives_up`
    /// returns true first.
    pub fn send_until_definite(
        &self,
        method: &str,
        path: &str,
        body: &str,
        gives_up: impl Fn() -> bool,
    ) -> Option<u16> {
        while !gives_up() {
            let status = self.call(method, path, body).map(|response| response.status()).unwrap_or(0);
            // A redirection that ends at no leaseholder, a 5xx and a missing response leave the outcome unknown.
            if (200..300).contains(&status) || (400..500).contains(&status) {
                return Some(status);
            }
            sleep(PAUSE_AFTER_FAILURE);
        }
        None
    }

    /// Sends a request to a random controller and follows redirections.
    fn call(&self, method: &str, path: &str, body: &str) -> io::Result<Message> {
        let controller = self.controllers.choose(&mut rand::rng()).copied();
        let mut to = controller.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let mut response = call_once(to, method, path, body)?;
        for _ in 0..MAX_REDIRECTIONS {
            let Some(location) = response.header("Location").filter(|_| response.status() == 307) else {
                break;
            };
            let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
            to = authority.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            response = call_once(to, method, path, body)?;
        }
        Ok(response)
    }
}

fn call_once(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let host = to.to_string();
    write_message(&mut stream, &format!("{method} {path} HTTP/1.1"), &[("Host", &host)], body)?;
    read_message(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

//! A fake cloud platform: serves the list of backend instances that a test has set.

use crate::backend::FakeBackend;
use crate::http;
use serde_json::json;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// A lock whose data stays usable after a thread that held it has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the platform says of an instance's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes new requests.
    Available,
    /// It finishes the requests it has and takes no new ones.
    Draining,
}

/// The platform's API with the instances it lists. Clones share the list.
#[derive(Clone)]
pub struct FakePlatform {
    /// Where the API listens.
    pub address: SocketAddr,
    instances: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl FakePlatform {
    /// Starts the API with an empty list on a free port of this address.
    ///
    /// # Panics
    ///
    /// Where the address cannot be bound.
    pub fn start(ip: IpAddr) -> FakePlatform {
        let listener = TcpListener::bind((ip, 0)).expect("a free loopback address");
        let address = listener.local_addr().expect("the listener is bound");
        let platform = FakePlatform { address, instances: Arc::default() };
        let server = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = server.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        platform
    }

    /// Replaces the list by these backends.
    pub fn set_instances(&self, backends: &[(&FakeBackend, Lifecycle)]) {
        let instance = |(backend, lifecycle): &(&FakeBackend, Lifecycle)| {
            let lifecycle = match lifecycle {
                Lifecycle::Available => "available",
                Lifecycle::Draining => "draining",
            };
            json!({"identifier": backend.id, "service": backend.service, "address": backend.address.to_string(),
                "zone": backend.zone, "revision": "v1", "capacity": 4, "warmup_left": "0ms",
                "lifecycle": lifecycle})
        };
        *lock(&self.instances) = backends.iter().map(instance).collect();
    }

    /// Answers every request on the connection with the whole list, whatever its path.
    fn serve_connection(&self, mut stream: TcpStream) {
        while let Ok(Some(_)) = http::read_message(&mut stream) {
            let body = json!({"instances": {"all": *lock(&self.instances)}, "next_token": null});
            if http::write_message(&mut stream, "HTTP/1.1 200 OK", &[], &body.to_string()).is_err() {
                return;
            }
        }
    }
}

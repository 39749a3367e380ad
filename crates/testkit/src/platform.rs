//! A fake cloud platform: an API that serves the list of backend instances that a test sets.

use crate::backend::FakeBackend;
use crate::http;
use serde_json::json;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Locks a mutex even if a thread has panicked while holding the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The lifecycle state that the platform reports for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The instance accepts new requests.
    Available,
    /// The instance completes its current requests and accepts no new ones.
    Draining,
}

/// The API of the platform and the instances that it lists. Clones share the list.
#[derive(Clone)]
pub struct FakePlatform {
    /// The address on which the API listens.
    pub address: SocketAddr,
    instances: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl FakePlatform {
    /// Starts the API on a free port of this address, with an empty list.
    ///
    /// # Panics
    ///
    /// If the address cannot be bound.
    pub fn start(ip: IpAddr) -> FakePlatform {
        let listener = TcpListener::bind((ip, 0)).expect("the address can be bound");
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

    /// Replaces the list with these backends.
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

    /// Responds to every request on the connection with the complete list, whatever its path.
    fn serve_connection(&self, mut stream: TcpStream) {
        while let Ok(Some(_)) = http::read_message(&mut stream) {
            let body = json!({"instances": {"all": *lock(&self.instances)}, "next_token": null});
            if http::write_message(&mut stream, "HTTP/1.1 200 OK", &[], &body.to_string()).is_err() {
                return;
            }
        }
    }
}

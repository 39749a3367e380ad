//! Runs a test with a listener on loopback.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;
use vanewharf_runtime::environment::{Environment, Listener};

/// The time limit of a test, which is longer than any of them takes.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// Runs a test on its own runtime, with a listener on a free port.
pub fn on_loopback<F: Future<Output = ()>>(test: impl FnOnce(Box<dyn Listener>, SocketAddr) -> F) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let environment = Environment::of_machine(None).expect("the environment needs no disk");
        // Another process could bind the port before the listener below does.
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr();
        let address = free.expect("an address");
        let listener = environment.network.listen(address).expect("the port is free");
        timeout(DEADLINE, test(listener, address)).await.expect("the test ends within its time limit");
    }));
}

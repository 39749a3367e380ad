//! A server's listener on loopback, in a runtime of its own.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;
use vanewharf_runtime::environment::{Environment, Listener};

/// Longer than any test takes.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// Runs a test with a listener on a free port.
pub fn on_loopback<F: Future<Output = ()>>(test: impl FnOnce(Box<dyn Listener>, SocketAddr) -> F) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let environment = Environment::of_machine(None).expect("no disk is needed");
        // A port that was free a moment ago.
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr();
        let address = free.expect("an address");
        let listener = environment.network.listen(address).expect("it is free");
        timeout(DEADLINE, test(listener, address)).await.expect("in time");
    }));
}

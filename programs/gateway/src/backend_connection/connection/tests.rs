use super::*;
use crate::resources::{ResourceLimits, Resources};
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;

#[tokio::test]
async fn detects_unsolicited_data_before_the_runtime_polls() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let resources = Rc::new(Resources::new(ResourceLimits::within(64, 64)));
    for closes in [false, true] {
        let address = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (mut backend, _) = listener.accept().expect("an accepted connection");
        let guard = SocketGuard::new(&resources, SocketKind::Upstream);
        let connection = Connection::new(stream, guard);
        assert!(is_quiet(&connection.framed));
        if closes {
            drop(backend);
        } else {
            backend.write_all(b"H").expect("the byte is sent");
        }
        assert!(!is_quiet(&connection.framed));
    }
}

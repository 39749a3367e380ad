//! Whether a connection to a server may be used for a request.

use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use vanewharf_http1::ClientCodec;

/// Whether the connection is open and nothing was received since the last reply.
///
/// This peeks at the socket directly, because the runtime learns of received bytes only when it next polls for I/O.
/// Otherwise, a request written after the server closed the connection would count as one that may have run, and
/// unsolicited bytes would be taken for the request's reply.
pub(crate) fn is_quiet(connection: &Framed<TcpStream, ClientCodec>) -> bool {
    let received = SockRef::from(connection.get_ref()).peek(&mut [MaybeUninit::uninit()]);
    connection.read_buffer().is_empty() && received.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

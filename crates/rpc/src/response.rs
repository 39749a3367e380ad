//! What a server's handler responds.

use crate::compression;
use serde::Serialize;
use vanewharf_http1::Request;

/// A handler's response; its content type is JSON.
#[derive(Clone, Debug)]
pub struct RpcResponse {
    /// The HTTP status.
    pub status: u16,
    /// Further header fields, with names and values.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl RpcResponse {
    /// One with status 200 and an empty object.
    pub fn empty() -> RpcResponse {
        RpcResponse { status: 200, headers: Vec::new(), body: b"{}".to_vec() }
    }

    /// One with the status of a failure, and the reason in the body.
    pub fn error(status: u16, reason: &str) -> RpcResponse {
        let body = serde_json::json!({ "error": reason }).to_string();
        RpcResponse { status, headers: Vec::new(), body: body.into_bytes() }
    }

    /// One with status 200 and that message, or with 500 where it cannot be serialized.
    pub fn json<T: Serialize>(message: &T) -> RpcResponse {
        match serde_json::to_vec(message) {
            Ok(body) => RpcResponse { status: 200, headers: Vec::new(), body },
            Err(_) => RpcResponse::error(500, "the answer cannot be written"),
        }
    }

    /// The same, compressed where it is long and the request accepts that.
    pub fn compressed_for(self, request: &Request) -> RpcResponse {
        let is_accepted = request.field("Accept-Encoding") == Some(compression::ENCODING);
        if !is_accepted || self.body.len() < compression::MIN_COMPRESSED_BYTES {
            return self;
        }
        match compression::compress(&self.body) {
            Some(body) => {
                let mut headers = self.headers;
                headers.push(("Content-Encoding", compression::ENCODING.to_owned()));
                RpcResponse { status: self.status, headers, body }
            }
            None => self,
        }
    }
}

//! The response of a server's handler.

use crate::compression;
use serde::Serialize;
use vanewharf_http1::Request;

/// A handler's response, whose content type is JSON.
#[derive(Clone, Debug)]
pub struct RpcResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The names and values of additional header fields.
    pub headers: Vec<(&'static str, String)>,
    /// The JSON text of the body.
    pub body: Vec<u8>,
}

impl RpcResponse {
    /// Creates a response with status 200 and an empty JSON object.
    pub fn empty() -> RpcResponse {
        RpcResponse { status: 200, headers: Vec::new(), body: b"{}".to_vec() }
    }

    /// Creates a response with an error status and the reason in its body.
    pub fn error(status: u16, reason: &str) -> RpcResponse {
        let body = serde_json::json!({ "error": reason }).to_string();
        RpcResponse { status, headers: Vec::new(), body: body.into_bytes() }
    }

    /// Creates a response with status 200 and the message, or with status 500 if the message cannot be serialized.
    pub fn json<T: Serialize>(message: &T) -> RpcResponse {
        match serde_json::to_vec(message) {
            Ok(body) => RpcResponse { status: 200, headers: Vec::new(), body },
            Err(_) => RpcResponse::error(500, "the answer cannot be written"),
        }
    }

    /// Compresses the response if its body is long enough and the request accepts the encoding.
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

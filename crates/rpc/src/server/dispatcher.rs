//! Dispatch of requests to the handler, except for repeated calls.

use crate::response::RpcResponse;
use std::cell::RefCell;
use tokio::time::Instant;
use vanewharf_http1::Request;
use vanewharf_protocol::deduplication::{CallHistory, CallId, CallStatus, is_non_idempotent};
use vanewharf_protocol::endpoints::{CALL_ID, CALL_REPEATED};

/// The handler of a server and the history of its calls.
pub(super) struct Dispatcher<H> {
    handler: H,
    /// The history of internal calls; `None` for a public server, which ignores call ids.
    history: Option<RefCell<CallHistory<RpcResponse>>>,
}

impl<H> Dispatcher<H> {
    pub(super) fn new(handler: H) -> Dispatcher<H> {
        Dispatcher { handler, history: None }
    }

    pub(super) fn with_deduplication(handler: H) -> Dispatcher<H> {
        Dispatcher { handler, history: Some(RefCell::default()) }
    }

    /// Returns the handler's response, or the response to a repeated call. If the future is dropped, no response is
    /// recorded, and the call counts as repeated from then on.
    pub(super) async fn dispatch<F>(&self, request: Request) -> RpcResponse
    where
        H: Fn(Request) -> F,
        F: Future<Output = RpcResponse>,
    {
        let (Some(id), Some(history)) = (request.field(CALL_ID), &self.history) else {
            return (self.handler)(request).await;
        };
        let id: CallId = match id.parse() {
            Ok(id) => id,
            Err(error) => return RpcResponse::error(400, &error.to_string()),
        };
        // The borrow of the history must end before the handler runs.
        let status = history.borrow_mut().observe(id, Instant::now());
        match status {
            CallStatus::Answered(mut response) => {
                response.headers.push((CALL_REPEATED, "1".to_owned()));
                response
            }
            CallStatus::Repeated => {
                RpcResponse::error(409, "this call, or a later one of its caller, was heard before")
            }
            CallStatus::New => {
                let is_recorded = is_non_idempotent(request.target());
                let response = (self.handler)(request).await;
                if is_recorded {
                    history.borrow_mut().record_response(id, response.clone());
                }
                response
            }
        }
    }
}

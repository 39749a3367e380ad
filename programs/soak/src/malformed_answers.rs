//! Answers of backends that violate HTTP. Proxies must neither forward them nor take them for proof of anything.

use vanewharf_testkit::raw_answer::{Delivery, RawAnswer};

/// A status code that does not exist.
pub const STATUS_000: RawAnswer = RawAnswer {
    text: "HTTP/1.1 000 X\r\nAttempt-Id: {attempt}\r\nBackend-Seal: s.1\r\nContent-Length: 2\r\n\r\nok",
    delivery: Delivery::Whole,
};

/// A status code that does not exist, with the guarantee that the request was not executed. It was.
pub const STATUS_999_NOT_EXECUTED: RawAnswer = RawAnswer {
    text: "HTTP/1.1 999 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nok",
    delivery: Delivery::Whole,
};

/// A body in chunks that is cut off after the first one. An empty line follows in place of the next size.
pub const CUT_BEFORE_A_CHUNK: RawAnswer = RawAnswer {
    text: "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nBackend-Seal: s.1\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nok\r\n\r\n\r\n",
    delivery: Delivery::Bytewise,
};

//! The stages that a txn passes on sockets: take in, admit, route, send, relay and book, each in a file of its own;
//! `route` alone asks the decisions. `vanewharf-gateway` is made of them, and so is the system's data plane; what
//! differs between the two stands behind `gate::Gate` and `route::Decides`.

pub mod admit;
pub mod book;
pub mod clock;
pub mod commission;
pub mod counter;
pub mod discovery;
pub mod gate;
pub mod note;
pub mod open;
pub mod operator;
pub mod peers;
pub mod pool;
pub mod recall;
pub mod relay;
pub mod route;
pub mod send;
pub mod shared;
pub mod take_in;

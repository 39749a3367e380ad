//! A whole system on loopback: the real programs, each on a thread and a loopback address of its own, among stand-ins
//! for all that they talk to. What the stand-ins saw is kept, so that histories can be checked after the fact.

pub mod http;
pub mod stand_ins;
pub mod town;

//! The system's own decisions: pure, told the time, with no input or output of their own. docs/system.md has why each
//! is as it is.

pub mod allowance;
pub mod election;
pub mod evidence;
pub mod group;
pub mod membership;
pub mod pocket;
pub mod quota;
pub mod source;
pub mod summing;
pub mod view;
pub mod voter;

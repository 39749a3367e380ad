//! Views of other machines and of the fleet: neighbours, sources, and the sums of what proxies report; pure.

pub mod source;
pub mod summing;
pub mod view;

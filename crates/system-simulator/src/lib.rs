//! The whole system on made-up machines: the real postmasters and sorters, and carriers whose clients and backends are
//! stood in for, on a network, a clock and disks that a seed decides. docs/lab.md has what is and is not like a machine.

pub mod day;
pub mod disk;
pub mod door;
pub mod hard;
pub mod judge;
pub mod many;
pub mod net;
pub mod plan;
pub mod play;
pub mod town;
pub mod world;

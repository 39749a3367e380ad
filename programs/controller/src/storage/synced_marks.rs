//! Which writes are known to have been durable, in a file of its own: `synced.json`, in the form of a record's copy.
//!
//! A copy that cannot be read may be torn, which is a write that was never acknowledged, or damaged after it had been. The
//! marks tell them apart: a disk on which the newest intact copy is older than its mark has lost something that was durable.
//! They are written once the disk has had nothing to do for a while, so a copy that is damaged before that passes for torn.

use super::record_file::{encode_copy, read_copy};
use super::{RECORDS, Record};
use serde::{Deserialize, Serialize};

/// The file's name, fixed by what is on the disks of installations.
pub(super) const FILE_NAME: &str = "synced.json";
/// The marks have one copy and no sequence.
const WRITE_NUMBER: u64 = 0;

/// For each record the number of a write that was durable; 0: none is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SyncedMarks {
    voter: u64,
    register: u64,
}

impl SyncedMarks {
    pub(super) fn of_write_numbers(numbers: [u64; RECORDS.len()]) -> SyncedMarks {
        SyncedMarks { voter: numbers[Record::Voter as usize], register: numbers[Record::Register as usize] }
    }

    /// The higher marks of the two: a mark never falls.
    pub(super) fn raised_to(self, other: SyncedMarks) -> SyncedMarks {
        SyncedMarks { voter: self.voter.max(other.voter), register: self.register.max(other.register) }
    }

    pub(super) fn of_record(self, record: Record) -> u64 {
        match record {
            Record::Voter => self.voter,
            Record::Register => self.register,
        }
    }

    /// Decodes the file. One that is torn or corrupt marks nothing.
    pub(super) fn read(content: &[u8]) -> SyncedMarks {
        read_copy(content).and_then(|copy| serde_json::from_slice(copy.body).ok()).unwrap_or_default()
    }

    pub(super) fn encode(self) -> serde_json::Result<Vec<u8>> {
        Ok(encode_copy(WRITE_NUMBER, &serde_json::to_vec(&self)?))
    }
}

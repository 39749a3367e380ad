//! Watermarks of the writes that are known to be durable, stored in a separate file, `synced.json`, which has the format of
//! a record's copy.
//!
//! An unreadable copy is either torn, in which case its write was never acknowledged, or it was damaged after it had been
//! durable. The watermarks distinguish the two cases: if the newest intact copy is older than its watermark, the disk has
//! lost durable data. The watermarks are written after the disk has been idle for a while, so damage that occurs before
//! that is taken for a torn write.

use super::record_file::{decode_copy, encode_copy};
use super::{RECORDS, Record};
use serde::{Deserialize, Serialize};

/// Name of the file. It is part of the on-disk format and must not change.
pub(super) const FILE_NAME: &str = "synced.json";
/// The file has a single copy, so its writes are not numbered.
const WRITE_NUMBER: u64 = 0;

/// The highest number of a write known to be durable, for each record; 0 if none is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SyncedMarks {
    voter: u64,
    register: u64,
}

impl SyncedMarks {
    pub(super) fn from_write_numbers(numbers: [u64; RECORDS.len()]) -> SyncedMarks {
        SyncedMarks { voter: numbers[Record::Voter as usize], register: numbers[Record::Register as usize] }
    }

    /// Returns the higher watermark of each record. A watermark never decreases.
    pub(super) fn max(self, other: SyncedMarks) -> SyncedMarks {
        SyncedMarks { voter: self.voter.max(other.voter), register: self.register.max(other.register) }
    }

    pub(super) fn for_record(self, record: Record) -> u64 {
        match record {
            Record::Voter => self.voter,
            Record::Register => self.register,
        }
    }

    /// Decodes the file. A torn or corrupt file yields no watermarks.
    pub(super) fn decode(content: &[u8]) -> SyncedMarks {
        decode_copy(content).and_then(|copy| serde_json::from_slice(copy.body).ok()).unwrap_or_default()
    }

    pub(super) fn encode(self) -> serde_json::Result<Vec<u8>> {
        Ok(encode_copy(WRITE_NUMBER, &serde_json::to_vec(&self)?))
    }
}

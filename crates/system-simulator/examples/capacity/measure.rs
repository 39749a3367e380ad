//! Measures the time and memory that a function takes. The global allocator counts the allocated bytes.

// Implementing a global allocator requires unsafe code.
#![allow(unsafe_code)]

use flate2::Compression;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Counts the bytes that are allocated, and their peak.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: Every call is forwarded unchanged to the system allocator, which does not depend on the counters.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let allocated = ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(allocated, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        let allocated = ALLOCATED.fetch_add(size, Ordering::Relaxed) + size;
        PEAK.fetch_max(allocated.saturating_sub(layout.size()), Ordering::Relaxed);
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.realloc(pointer, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The output of a function, and the time and memory that it took.
pub struct Measured<T> {
    pub output: T,
    pub milliseconds: f64,
    /// Megabytes that the function allocated and did not free.
    pub retained_mb: f64,
    /// The peak of allocated megabytes during the call, above those allocated before.
    pub peak_mb: f64,
}

/// Calls a function and measures it.
pub fn measure<T>(work: impl FnOnce() -> T) -> Measured<T> {
    let before = ALLOCATED.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let started = Instant::now();
    let output = black_box(work());
    let milliseconds = started.elapsed().as_secs_f64() * 1e3;
    let megabytes = |bytes: usize| bytes.saturating_sub(before) as f64 / 1e6;
    Measured {
        output,
        milliseconds,
        retained_mb: megabytes(ALLOCATED.load(Ordering::Relaxed)),
        peak_mb: megabytes(PEAK.load(Ordering::Relaxed)),
    }
}

/// Serializes a message to JSON.
pub fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("it can be serialized")
}

/// The size in bytes of a body that is compressed like an RPC body.
pub fn compressed_size(body: &[u8]) -> usize {
    let mut encoder = DeflateEncoder::new(Vec::with_capacity(body.len() / 4), Compression::fast());
    encoder.write_all(body).expect("writing to memory");
    encoder.finish().expect("writing to memory").len()
}

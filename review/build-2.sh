#!/bin/sh
# Builds what the scripts of the second review start: the programs, with the command of the deploy file, and the stand-ins,
# which use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p vanewharf-proxy -p vanewharf-agent -p vanewharf-controller
mkdir -p target/review-2
for case in 4 5 6 7 8; do
    rustc --edition 2024 -O -o "target/review-2/case-$case" "review/$case/case.rs"
done

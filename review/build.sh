#!/bin/sh
# Builds all that the scripts start: the programs, by the command of the deploy file, unless they are there already, and
# the stand-ins, which need nothing but the pinned toolchain.
set -e
cd "$(dirname "$0")/.."
for program in vanewharf-proxy vanewharf-agent vanewharf-controller; do
    if [ ! -x "target/release/$program" ]; then
        cargo build --release --locked -p vanewharf-proxy -p vanewharf-agent -p vanewharf-controller
        break
    fi
done
mkdir -p target/review
for main in review/[0-9]/main.rs; do
    number=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$main"
done

#!/bin/sh
# Builds the stand-ins and clients of the scripts. Needs no network: no dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig/Cargo.toml --target-dir target/review

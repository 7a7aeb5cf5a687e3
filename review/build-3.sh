#!/bin/sh
# Builds the stand-ins of the cases 11 and 13 to 15.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3

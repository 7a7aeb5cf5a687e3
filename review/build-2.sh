#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/harness-2/main.rs -o target/review-2/cases

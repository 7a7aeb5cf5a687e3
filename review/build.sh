#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts start. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs

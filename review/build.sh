#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start: the project's store, and `kit`, which needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p stairvale-platform-standin
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/kit review/standin/kit.rs

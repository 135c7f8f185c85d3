#!/usr/bin/env bash
# Everything that CI does: formatting, lints, documentation, tests, and the specification's model checking.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '\n== %s\n' "$*"; }

step formatting
cargo fmt --all --check
step lints
cargo clippy --workspace --all-targets --locked --quiet -- -D warnings
step documentation
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
step tests
cargo test --workspace --locked
if [ -x spec/check.sh ]; then
  step specification
  spec/check.sh
fi

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
# Tests that are known to fail stand in KNOWN-RED.txt, one a line: its name, then why. Just these are passed over, and told.
known=()
if [ -s KNOWN-RED.txt ]; then
  printf 'known to fail, and not run:\n%s\n' "$(cat KNOWN-RED.txt)"
  while read -r name _; do known+=(--skip "${name%:}"); done < KNOWN-RED.txt
fi
cargo test --workspace --locked -- ${known[@]+--exact "${known[@]}"}
if [ -x spec/check.sh ]; then
  step specification
  spec/check.sh
fi

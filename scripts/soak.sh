#!/usr/bin/env bash
# Long randomised runs of several nodes with everything that can fail. Prints the seed of a failure.
#
#   scripts/soak.sh SECONDS SEED
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# = 2 ] || { sed -n '2,4p' "$0"; exit 2; }
cargo test --release --quiet --package stairvale-control --test random --no-run
until=$((SECONDS + $1))
seed=$2
cases=50
while [ $SECONDS -lt $until ]; do
  STAIRVALE_SOAK_SEED=$seed STAIRVALE_SOAK_CASES=$cases \
    cargo test --release --quiet --package stairvale-control --test random whatever
  seed=$((seed + cases))
done
echo "seeds $2 to $((seed - 1)) hold"

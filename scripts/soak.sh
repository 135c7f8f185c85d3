#!/usr/bin/env bash
# Long randomised runs of several nodes with everything that can fail. Prints the seed of a failure.
#
#   scripts/soak.sh SECONDS SEED          the node's decisions, in a world of their own
#   scripts/soak.sh processes RUNS SEED   real processes on loopback, about eight seconds a run
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# = 3 ] && [ "$1" = processes ]; then
  STAIRVALE_SOAK_RUNS=$2 STAIRVALE_SOAK_SEED=$3 \
    cargo test --quiet --package stairvale-platform --test soak -- --nocapture
  exit
fi
[ $# = 2 ] || { sed -n '2,5p' "$0"; exit 2; }
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

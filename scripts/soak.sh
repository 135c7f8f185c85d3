#!/usr/bin/env bash
# Long randomised runs of several nodes with injected faults of every kind. Prints the seed of a failure.
#
#   scripts/soak.sh SECONDS SEED             the decision logic of the nodes, in a simulated network
#   scripts/soak.sh processes RUNS SEED      real processes on loopback, about eight seconds per run
#   scripts/soak.sh crowd RUNS SEED          the same losses of power and crashes with a hundred routers, one soak at a time
#   scripts/soak.sh mixed COMMIT RUNS SEED   the same with routers of an earlier build in the fleet: each start of a router alternates
#                                            between the build of that commit of this repository and the current build
set -euo pipefail
cd "$(dirname "$0")/.."
run_processes() {
  STAIRVALE_SOAK_RUNS=$1 STAIRVALE_SOAK_SEED=$2 \
    cargo test --quiet --package stairvale-platform --test soak -- --nocapture
}
if [ $# = 3 ] && [ "$1" = processes ]; then
  run_processes "$2" "$3"
  exit
fi
if [ $# = 3 ] && [ "$1" = crowd ]; then
  STAIRVALE_SOAK_ROUTERS=${STAIRVALE_SOAK_ROUTERS:-100} STAIRVALE_SOAK_RUNS=$2 STAIRVALE_SOAK_SEED=$3 \
    cargo test --quiet --package stairvale-platform --test soak -- --nocapture --test-threads 1 killed crashes
  exit
fi
if [ $# = 4 ] && [ "$1" = mixed ]; then
  commit=$(git rev-parse --verify "$2^{commit}")
  checkout=$PWD/target/earlier/$commit
  if [ ! -d "$checkout" ]; then
    git clone --quiet --shared --no-checkout . "$checkout"
    git -C "$checkout" checkout --quiet "$commit"
  fi
  (cd "$checkout" && cargo build --quiet --locked --package stairvale-platform)
  export STAIRVALE_SOAK_EARLIER=$checkout/target/debug/stairvale-platform
  run_processes "$3" "$4"
  exit
fi
[ $# = 2 ] || { sed -n '2,8p' "$0"; exit 2; }
cargo test --release --quiet --package stairvale-control --test random --no-run
end=$((SECONDS + $1))
seed=$2
cases=50
while [ $SECONDS -lt $end ]; do
  STAIRVALE_SOAK_SEED=$seed STAIRVALE_SOAK_CASES=$cases \
    cargo test --release --quiet --package stairvale-control --test random whatever
  seed=$((seed + cases))
done
echo "seeds $2 to $((seed - 1)) passed"

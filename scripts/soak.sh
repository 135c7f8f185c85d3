#!/usr/bin/env bash
# Long randomised runs of several nodes with everything that can fail. Prints the seed of a failure.
#
#   scripts/soak.sh SECONDS SEED             the node's decisions, in a world of their own
#   scripts/soak.sh processes RUNS SEED      real processes on loopback, about eight seconds a run
#   scripts/soak.sh mixed COMMIT RUNS SEED   the same with routers of an earlier build beside them: each router starts by turns as the
#                                            build of that commit, made from this repository's history, and as the present one
set -euo pipefail
cd "$(dirname "$0")/.."
processes() {
  STAIRVALE_SOAK_RUNS=$1 STAIRVALE_SOAK_SEED=$2 \
    cargo test --quiet --package stairvale-platform --test soak -- --nocapture
}
if [ $# = 3 ] && [ "$1" = processes ]; then
  processes "$2" "$3"
  exit
fi
if [ $# = 4 ] && [ "$1" = mixed ]; then
  commit=$(git rev-parse --verify "$2^{commit}")
  folder=$PWD/target/earlier/$commit
  if [ ! -d "$folder" ]; then
    git clone --quiet --shared --no-checkout . "$folder"
    git -C "$folder" checkout --quiet "$commit"
  fi
  (cd "$folder" && cargo build --quiet --locked --package stairvale-platform)
  export STAIRVALE_SOAK_EARLIER=$folder/target/debug/stairvale-platform
  processes "$3" "$4"
  exit
fi
[ $# = 2 ] || { sed -n '2,7p' "$0"; exit 2; }
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

#!/usr/bin/env bash
# Measures the trade-off between cache reuse and load skew: runs the churn scenario with the same load for each combination of
# the load multiple c and the time that a request waits for an engine with its prefix, and prints a table.
#
#   scripts/frontier.sh [--seed N] [--rate N]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 rate=240
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2 ;;
    --rate) rate=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

field() { grep -o "\"$2\": [0-9.]*" "$1" | cut -d' ' -f2; }

printf '| c | wait | reuse | skew p50 | skew p99 | mean load | first token p95 ms |\n| --- | --- | --- | --- | --- | --- | --- |\n'
for c in ${MULTIPLES:-1.1 1.25 1.5 2.0}; do
  for wait in ${WAITS:-0ms 100ms 300ms}; do
    sed "s/load_multiple: 1.25/load_multiple: $c/; s/prefix_wait: 300ms/prefix_wait: $wait/" examples/prairie-commons.yaml >"$work/document.yaml"
    scripts/measure.sh churn --seed "$seed" --rate "$rate" --document "$work/document.yaml" --json "$work/out.json" >/dev/null 2>&1 ||
      echo "(the run with load multiple $c and prefix wait $wait failed its checks)"
    printf '| %s | %s | %.3f | %.2f | %.2f | %.1f | %.0f |\n' "$c" "$wait" "$(field "$work/out.json" cache_reuse)" \
      "$(field "$work/out.json" skew_p50)" "$(field "$work/out.json" skew_p99)" "$(field "$work/out.json" mean_load)" \
      "$(field "$work/out.json" first_token_ms_p95)"
  done
done

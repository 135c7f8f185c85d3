#!/usr/bin/env bash
# Measures how control grows: bytes sent, processor time of the control thread and memory of a router, at several sizes.
#
#   scripts/scale.sh routers|engines|customers|rate
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-routers}
. scripts/lab.sh
cargo build --release --quiet --workspace
BIN=target/release
SECONDS_EACH=12
TICKS=$(getconf CLK_TCK)

# Processor ticks of a process's control thread, which is its first.
control_ticks() { awk '{ print $14 + $15 }' "/proc/${PIDS[$1]}/task/${PIDS[$1]}/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"; }
sent() {
  curl -s -m 2 -H "authorization: Bearer $OPERATOR_KEY" "http://${ADDRESS[$1-operators]}/metrics" |
    awk '/^stairvale_control_sent_bytes / { print $2 }'
}

# one ROUTERS ENGINES RATE-A-ROUTER: a fleet of so many a zone; prints a row.
one() {
  (
    lab_open
    LAB_PORT=21000
    start_fleet "$1" "$2" 3
    apply_first
    sleep 2
    local total=$((${#ROUTERS[@]} * $3)) name
    declare -A ticks=() bytes=()
    for name in "${ROUTERS[@]}"; do ticks[$name]=$(control_ticks "$name"); bytes[$name]=$(sent "$name"); done
    local begun=$(date +%s%N)
    if [ "$total" -gt 0 ]; then
      load --seconds $SECONDS_EACH --rate "$total" --plain-rate 1 --warmup 2 --scenario scale >/dev/null || true
    else
      sleep $SECONDS_EACH
    fi
    for name in "${ROUTERS[@]}"; do
      local span=$(($(date +%s%N) - begun))
      echo "$(($(control_ticks "$name") - ticks[$name])) $(($(sent "$name") - bytes[$name])) $(resident_kb "$name") $span"
    done | awk -v hz="$TICKS" -v label="| ${#ROUTERS[@]} | ${#ENGINES[@]} | $3 | ${4:-10}" '
      { s = $4 / 1e9; cpu += $1 / hz / s * 100; b = $2 / s; bytes += b; if (b > top) top = b; rss += $3; n++ }
      END { printf "%s | %.2f | %.0f | %.0f | %.1f |\n", label, cpu / n, bytes / n, top, rss / n / 1024 }'
  )
}

printf '| routers | engines | requests/s a router | customers | control thread %% of a core | bytes/s mean | bytes/s max | MB |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n'
case $what in
  routers) for n in 1 2 4 8; do one $n 4 8; done ;;
  engines) for n in 4 8 16; do one 2 $n 8; done ;;
  rate) for n in 0 4 8 16; do one 2 4 $n; done ;;
  customers)
    for n in 10 500 1500; do
      big=$(mktemp)
      awk -v n="$n" '/^operators:/ { for (i = 10; i < n; i++) printf "  - name: extra-%d\n    key_hash: %064x\n", i, i } { print }' \
        examples/prairie-commons.yaml >"$big"
      DOCUMENT=$big
      one 2 4 8 "$n"
      rm -f "$big"
    done
    ;;
esac

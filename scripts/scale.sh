#!/usr/bin/env bash
# Measures how control traffic scales with the size of the fleet: bytes sent, CPU time of the control thread and memory per router.
#
#   scripts/scale.sh routers|engines|customers|rate
set -euo pipefail
cd "$(dirname "$0")/.."
dimension=${1:-routers}
. scripts/lab.sh
cargo build --release --quiet --workspace
BIN=target/release
SECONDS_EACH=12
TICKS=$(getconf CLK_TCK)

# Prints the CPU time, in clock ticks, of a router's control thread, which is the first thread of the process.
control_ticks() { awk '{ print $14 + $15 }' "/proc/${PIDS[$1]}/task/${PIDS[$1]}/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"; }
# Prints the number of control bytes that a router has sent.
control_bytes_sent() {
  curl -s -m 2 -H "authorization: Bearer $OPERATOR_KEY" "http://${ADDRESS[$1-operators]}/metrics" |
    awk '/^stairvale_control_sent_bytes / { print $2 }'
}

# measure_fleet ROUTERS ENGINES RATE [CUSTOMERS]: starts a fleet with these numbers of routers and engines per zone, runs RATE
# requests per second and router, and prints a row of the table.
measure_fleet() {
  (
    lab_open
    LAB_PORT=21000
    start_fleet "$1" "$2" 3
    apply_document
    sleep 2
    local total=$((${#ROUTERS[@]} * $3)) name
    declare -A ticks=() bytes=()
    for name in "${ROUTERS[@]}"; do ticks[$name]=$(control_ticks "$name"); bytes[$name]=$(control_bytes_sent "$name"); done
    local started=$(date +%s%N)
    if [ "$total" -gt 0 ]; then
      run_load --seconds $SECONDS_EACH --rate "$total" --plain-rate 1 --warmup 2 --scenario scale >/dev/null || true
    else
      sleep $SECONDS_EACH
    fi
    for name in "${ROUTERS[@]}"; do
      local span=$(($(date +%s%N) - started))
      echo "$(($(control_ticks "$name") - ticks[$name])) $(($(control_bytes_sent "$name") - bytes[$name])) $(resident_kb "$name") $span"
    done | awk -v hz="$TICKS" -v label="| ${#ROUTERS[@]} | ${#ENGINES[@]} | $3 | ${4:-10}" '
      { s = $4 / 1e9; cpu += $1 / hz / s * 100; b = $2 / s; bytes += b; if (b > top) top = b; rss += $3; n++ }
      END { printf "%s | %.2f | %.0f | %.0f | %.1f |\n", label, cpu / n, bytes / n, top, rss / n / 1024 }'
  )
}

printf '| routers | engines | requests/s a router | customers | control thread %% of a core | bytes/s mean | bytes/s max | MB |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n'
case $dimension in
  routers) for n in 1 2 4 8; do measure_fleet $n 4 8; done ;;
  engines) for n in 4 8 16; do measure_fleet 2 $n 8; done ;;
  rate) for n in 0 4 8 16; do measure_fleet 2 4 $n; done ;;
  customers)
    for n in 10 500 1500; do
      document=$(mktemp)
      awk -v n="$n" '/^operators:/ { for (i = 10; i < n; i++) printf "  - name: extra-%d\n    key_hash: %064x\n", i, i } { print }' \
        examples/prairie-commons.yaml >"$document"
      DOCUMENT=$document
      measure_fleet 2 4 8 "$n"
      rm -f "$document"
    done
    ;;
esac

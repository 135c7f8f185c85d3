#!/usr/bin/env bash
# Runs one scenario on real processes, prints its figures and its verdict, and exits with a non-zero code if a check failed.
#
#   scripts/measure.sh SCENARIO [--seed N] [--policy P] [--json FILE] [--seconds N] [--rate N] [--document FILE]
#
# Scenarios: steady sliver churn surge router-kill router-freeze zone-cut platform-outage operator-race engine-leave stop orders
set -euo pipefail
cd "$(dirname "$0")/.."

[ $# -gt 0 ] || { sed -n '2,7p' "$0"; exit 2; }
scenario=$1
shift
seed=1 policy=fleet json="" seconds=20 rate=240 document=""
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2 ;;
    --policy) policy=$2 ;;
    --json) json=$2 ;;
    --seconds) seconds=$2 ;;
    --rate) rate=$2 ;;
    --document) document=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
POLICY=$policy
. scripts/lab.sh
[ -n "$document" ] && DOCUMENT=$document

cargo build --release --quiet --workspace
BIN=target/release
case $scenario in
  zone-cut)
    cargo build --release --quiet --package stairvale-router --features faults --target-dir target/faults
    cp target/release/stairvale-{standin,load} target/release/stairvalectl target/faults/release/
    BIN=target/faults/release
    ;;
esac
lab_open

VERDICT=good
fail() { VERDICT=bad; log "FAILED: $*"; }

# with_load EVENTS ARGS…: runs the load generator and at the same time the function EVENTS, which sleeps between its events.
with_load() {
  local events=$1 code=0
  shift
  local arguments=(--scenario "$scenario" --seed "$seed" --seconds "$seconds" --rate "$rate" --warmup 4)
  [ -n "$json" ] && arguments+=(--json "$json")
  run_load "${arguments[@]}" "$@" &
  local pid=$!
  "$events"
  wait $pid || code=$?
  [ $code = 0 ] || fail "an answer was lost, duplicated or mixed up, or an invariant was violated (exit code $code)"
}

no_events() { :; }

# operators_post ROUTER PATH BODY: posts to the operators' port of a router and ignores failures.
operators_post() {
  curl -sS -m 5 -X POST -H "authorization: Bearer $OPERATOR_KEY" -d "$3" "http://${ADDRESS[$1-operators]}$2" >/dev/null || true
}

# Prints the number of requests that an engine has run.
engine_runs() { curl -s -m 2 "http://${ADDRESS[$1]}/admin/runs" | tr ',' '\n' | grep -c : || true; }

# mark_leaving NAME ZONE SERVICE: marks an upstream as leaving in the platform's list.
mark_leaving() {
  publish_vm "{\"name\":\"$1\",\"role\":\"upstream\",\"zone\":\"$2\",\"service\":\"$3\",\"address\":\"${ADDRESS[$1]}\",\"leaving\":true}"
}

zone_of() { local zone; for zone in "${ZONES[@]}"; do case $1 in "$zone"-*) echo "$zone" ;; esac; done; }

# Engines join and leave in turn. One engine starts and stops draining repeatedly, and one is killed.
churn_events() {
  local round victim zone
  sleep 3
  for round in 1 2 3 4; do
    victim=${ENGINES[$((round - 1))]}
    zone=$(zone_of "$victim")
    start_engine "$zone-engine-new-$round" "$zone"
    if [ $round = 2 ]; then
      kill_process "$victim"
    else
      mark_leaving "$victim" "$zone" "$LLM"
      stop_gracefully "$victim" || fail "$victim did not exit with code 0"
    fi
    publish_vm "{\"name\":\"$victim\",\"gone\":true}"
    post "${ADDRESS[${ENGINES[10]}]}/admin/faults" '{"drain":true}'
    sleep 1
    post "${ADDRESS[${ENGINES[10]}]}/admin/faults" '{"drain":false}'
    sleep 2
  done
}

kill_events() {
  sleep "$((seconds / 2))"
  kill_process "${ROUTERS[1]}"
  sleep 3
  run_router "${ROUTERS[1]}"
}

freeze_events() {
  sleep "$((seconds / 3))"
  kill -STOP "${PIDS[${ROUTERS[1]}]}"
  sleep 4
  kill -CONT "${PIDS[${ROUTERS[1]}]}"
}

# set_partition FIRST OTHERS PLATFORM: sets the zones that are unreachable for routers of the first zone (FIRST, a JSON array) and
# of the other zones (OTHERS), and whether the platform is unreachable for the first zone (PLATFORM).
set_partition() {
  local name
  for name in "${ROUTERS[@]}"; do
    case $name in
      "${ZONES[0]}"-*) operators_post "$name" /v1/faults "{\"zones\":$1,\"platform\":$3}" ;;
      *) operators_post "$name" /v1/faults "{\"zones\":$2,\"platform\":false}" ;;
    esac
  done
}

cut_events() {
  sleep "$((seconds / 3))"
  set_partition "[\"${ZONES[1]}\",\"${ZONES[2]}\"]" "[\"${ZONES[0]}\"]" true
  sleep 6
  set_partition '[]' '[]' false
}

outage_events() {
  sleep 4
  platform_faults '{"lose_writes":20}'
  sleep 4
  platform_faults '{"down":true}'
  sleep 4
  platform_faults '{"slow_ms":300}'
  sleep 3
  platform_faults '{}'
}

# Prints the generation that is in force at the first router.
generation() {
  ctl --output json status | grep -o '"stats":{[^}]*}' | grep -o '"generation":[0-9]*' | cut -d: -f2
}

race_events() {
  local i base first second codes
  for i in 1 2 3; do
    sleep 2
    base=$(generation)
    STAIRVALE_KEY=$OPERATOR_KEY "$BIN/stairvalectl" --router "${ADDRESS[${ROUTERS[0]}-operators]}" apply "$LAB/a.yaml" --base "$base" >"$LAB/race-a" 2>&1 &
    first=$!
    STAIRVALE_KEY=sample-op-night "$BIN/stairvalectl" --router "${ADDRESS[${ROUTERS[3]}-operators]}" apply "$LAB/b.yaml" --base "$base" >"$LAB/race-b" 2>&1 &
    second=$!
    codes=""
    wait $first && codes+=0 || codes+=$?
    wait $second && codes+=0 || codes+=$?
    cat "$LAB/race-a" "$LAB/race-b" >&2
    [ "$codes" = 04 ] || [ "$codes" = 40 ] || fail "racing operators got exit codes $codes; expected one success and one conflict"
    # The next submission must not race with the propagation of this one.
    until [ "$(generation)" -gt "$base" ]; do sleep 0.1; done
    # An apply whose response is lost is resolved by its submission id.
    platform_faults '{"lose_writes":1}'
    ctl apply "$DOCUMENT" >&2 || fail "an apply whose response was lost was not resolved"
  done
}

leave_events() {
  local victim=${ENGINES[0]} before after
  sleep "$((seconds / 3))"
  # While the platform is down its list shows no change, so the engine's own status report must suffice.
  platform_faults '{"down":true}'
  post "${ADDRESS[$victim]}/admin/faults" '{"drain":true}'
  sleep 2
  before=$(engine_runs "$victim")
  sleep 4
  after=$(engine_runs "$victim")
  log "runs at the leaving engine 2 s and 6 s after it started to drain: $before and $after"
  [ "$before" = "$after" ] || fail "a leaving engine received new requests"
  platform_faults '{}'
}

stop_events() {
  sleep "$((seconds / 4))"
  stop_gracefully "${ROUTERS[1]}" || fail "the router did not exit with code 0"
  mark_leaving "${ENGINES[2]}" "$(zone_of "${ENGINES[2]}")" "$LLM"
  stop_gracefully "${ENGINES[2]}" || fail "the engine did not exit with code 0"
  mark_leaving "${SERVICES[0]}" "${ZONES[0]}" "$PLAIN"
  stop_gracefully "${SERVICES[0]}" || fail "the service did not exit with code 0"
}

# Prints the router of the first zone that gives orders to the engines.
router_giving_orders() {
  local name
  for name in "${ROUTERS[@]}"; do
    case $name in "${ZONES[0]}"-*) ;; *) continue ;; esac
    curl -s -m 2 -H "authorization: Bearer $OPERATOR_KEY" "http://${ADDRESS[$name-operators]}/v1/audit" |
      grep -q '"ordered"' && echo "$name" && return
  done
}

# Engines start with an old version, and the router that gives the orders in the first zone is killed before all are updated.
orders_events() {
  local holder name version
  sleep 5
  holder=$(router_giving_orders)
  [ -n "$holder" ] || { fail "no router gave an order in the first zone"; return; }
  kill_process "$holder"
  sleep 3
  run_router "$holder"
  sleep "$((seconds - 4))"
  for name in "${ENGINES[@]}"; do
    version=$(curl -s -m 2 "http://${ADDRESS[$name]}/v1/status" | grep -o '"version":"[^"]*"')
    [ "$version" = '"version":"1"' ] || fail "$name reports $version instead of version 1"
  done
}

[ "$scenario" = orders ] && ENGINE_ARGS="--version 0"
start_fleet 2 4 3
apply_document
case $scenario in
  steady) with_load no_events --apply "$DOCUMENT" ;;
  sliver) rate=20; with_load no_events ;;
  churn) with_load churn_events ;;
  surge) with_load no_events --surge 10 ;;
  router-kill) with_load kill_events ;;
  router-freeze) with_load freeze_events ;;
  zone-cut) with_load cut_events ;;
  platform-outage) with_load outage_events ;;
  operator-race)
    sed 's/slots: 32/slots: 31/' "$DOCUMENT" >"$LAB/a.yaml"
    sed 's/slots: 32/slots: 30/' "$DOCUMENT" >"$LAB/b.yaml"
    with_load race_events
    ;;
  engine-leave) with_load leave_events ;;
  stop) with_load stop_events ;;
  orders) with_load orders_events ;;
  *) log "unknown scenario $scenario"; exit 2 ;;
esac
[ -n "${KINDS:-}" ] && control_kinds
log "verdict of $scenario (policy $policy, seed $seed): $VERDICT"
[ $VERDICT = good ]

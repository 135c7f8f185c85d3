# Functions that run a fleet of stand-ins and routers on loopback; sourced by quickstart.sh, measure.sh and scale.sh.
#
# The id of every started process is recorded, and processes are ended by these ids only.

declare -A PIDS=()     # name -> process id
declare -A ADDRESS=()  # name -> address of the main port
ROUTERS=()             # names of the routers
ENGINES=()             # names of the model engines
SERVICES=()            # names of the plain upstreams

ZONES=(regina-a saskatoon-b brandon-c)
LLM=assist-llm
PLAIN=points-api
DOCUMENT=examples/prairie-commons.yaml
OPERATOR_KEY=sample-op-main
KEYS=sample-member-assistant,sample-grain-desk,sample-town-shop,sample-fuel-card
PLATFORM=127.0.0.1:${LAB_PORT:-21000}
PORT=$((${LAB_PORT:-21000} + 1))
POLICY=${POLICY:-fleet}
LAB=""
BIN=""

log() { printf '%s\n' "$*" >&2; }

lab_open() {
  LAB=$(mktemp -d)
  trap lab_close EXIT
  trap 'exit 130' INT TERM
}

lab_close() {
  set +e
  local name
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null; kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then log "logs are in $LAB"; else rm -rf "$LAB"; fi
}

# start NAME COMMAND…: starts a process in the background that logs to a file in the temporary directory.
start() {
  local name=$1
  shift
  "$@" >"$LAB/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# kill_process NAME: kills a process and waits for its end.
kill_process() {
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null || true
  unset "PIDS[$1]"
}

# stop_gracefully NAME: sends SIGTERM to a process, waits for its end and returns its exit code.
stop_gracefully() {
  local pid=${PIDS[$1]} code=0
  kill -TERM "$pid"
  wait "$pid" || code=$?
  unset "PIDS[$1]"
  return $code
}

# Sets NEXT to an unused loopback address.
next_address() { NEXT=127.0.0.1:$PORT; PORT=$((PORT + 1)); }

post() { curl -sS -m 5 -X POST -H 'content-type: application/json' -d "$2" "http://$1" >/dev/null; }

platform_faults() { post "$PLATFORM/admin/faults" "$1"; }

# publish_vm JSON: adds, replaces or removes a VM in the platform's list.
publish_vm() { post "$PLATFORM/admin/vms" "[$1]"; }

start_platform() {
  start platform "$BIN/stairvale-standin" platform --listen "$PLATFORM" "$@"
  local i
  for ((i = 0; i < 200; i++)); do
    curl -sf -m 1 "http://$PLATFORM/admin/stats" >/dev/null && return 0
    sleep 0.05
  done
  log "the stand-in of the platform did not answer within about 10 s: $(cat "$LAB/platform.log")"
  return 1
}

# start_engine NAME ZONE [ARGS…]: starts a model engine and adds it to the platform's list.
start_engine() {
  local name=$1 zone=$2
  shift 2
  next_address
  ADDRESS[$name]=$NEXT
  start "$name" "$BIN/stairvale-standin" engine --listen "$NEXT" --model prairie-8b --check-orders ${ENGINE_ARGS:-} "$@"
  ENGINES+=("$name")
  publish_vm "{\"name\":\"$name\",\"role\":\"upstream\",\"zone\":\"$zone\",\"service\":\"$LLM\",\"address\":\"$NEXT\"}"
}

# start_service NAME ZONE: starts a plain upstream and adds it to the platform's list.
start_service() {
  next_address
  ADDRESS[$1]=$NEXT
  start "$1" "$BIN/stairvale-standin" service --listen "$NEXT"
  SERVICES+=("$1")
  publish_vm "{\"name\":\"$1\",\"role\":\"upstream\",\"zone\":\"$2\",\"service\":\"$PLAIN\",\"address\":\"$NEXT\"}"
}

# start_router NAME ZONE: writes a router's settings, starts it and adds it to the platform's list.
start_router() {
  local name=$1 zone=$2 callers operators peers
  next_address; callers=$NEXT
  next_address; operators=$NEXT
  next_address; peers=$NEXT
  ADDRESS[$name]=$callers
  ADDRESS[$name-operators]=$operators
  ADDRESS[$name-peers]=$peers
  cat >"$LAB/$name.yaml" <<SETTINGS
router: $name
zone: $zone
callers: $callers
operators: $operators
peers: $peers
platform: http://$PLATFORM
fleet_key: sample-fleet-key
policy: $POLICY
balancer_grace: 1s
first_operators:
  - name: op-main
    key_hash: $(printf '%s' "$OPERATOR_KEY" | "$BIN/stairvalectl" hash-key)
SETTINGS
  run_router "$name"
  ROUTERS+=("$name")
  publish_vm "{\"name\":\"$name\",\"role\":\"router\",\"zone\":\"$zone\",\"address\":\"$peers\"}"
}

# run_router NAME: starts a router with the settings that start_router wrote.
run_router() { start "$1" "$BIN/stairvale-router" --settings "$LAB/$1.yaml"; }

# Runs stairvalectl against the first router.
ctl() { STAIRVALE_KEY=$OPERATOR_KEY "$BIN/stairvalectl" --router "${ADDRESS[${ROUTERS[0]}-operators]}" "$@"; }

# start_fleet ROUTERS ENGINES SERVICES: starts the platform and a fleet. ROUTERS and ENGINES are numbers per zone, SERVICES is the
# total number of plain upstreams.
start_fleet() {
  local zone i
  start_platform
  for zone in "${ZONES[@]}"; do
    for ((i = 1; i <= $2; i++)); do start_engine "$zone-engine-$i" "$zone"; done
    for ((i = 1; i <= $1; i++)); do start_router "$zone-router-$i" "$zone"; done
  done
  for ((i = 0; i < $3; i++)); do start_service "$PLAIN-$i" "${ZONES[$((i % ${#ZONES[@]}))]}"; done
}

# Applies the document as soon as the first router listens, then waits until all routers are ready and all upstreams usable.
apply_document() {
  local i name
  for ((i = 0; i < 100; i++)); do
    ctl apply "$DOCUMENT" --base 0 >/dev/null 2>"$LAB/apply.err" && break
    sleep 0.1
  done
  for name in "${ROUTERS[@]}"; do
    for ((i = 0; i < 200; i++)); do
      curl -sf -m 1 "http://${ADDRESS[$name]}/readyz" >/dev/null && break
      sleep 0.05
    done
  done
  wait_until_usable "$((${#ENGINES[@]} + ${#SERVICES[@]}))"
}

# wait_until_usable COUNT: waits until the first router reports this number of usable upstreams.
wait_until_usable() {
  local i
  for ((i = 0; i < 200; i++)); do
    [ "$(ctl --output json status 2>/dev/null | grep -o '"usable":[0-9]*' | head -1 | cut -d: -f2)" = "$1" ] && return 0
    sleep 0.05
  done
  log "not all upstreams became usable within about 10 s; processes that ended and upstreams that are not usable:"
  for i in "${!PIDS[@]}"; do kill -0 "${PIDS[$i]}" 2>/dev/null || log "$i has exited: $(tail -1 "$LAB/$i.log")"; done
  ctl --output json status 2>/dev/null | grep -o '{"upstream"[^}]*"usable":false[^}]*}' >&2 || true
  return 1
}

join_by_comma() { local IFS=,; echo "$*"; }

# run_load ARGS…: runs the load generator against all routers.
run_load() {
  local callers=() operators=() name
  for name in "${ROUTERS[@]}"; do
    callers+=("${ADDRESS[$name]}")
    operators+=("${ADDRESS[$name-operators]}")
  done
  "$BIN/stairvale-load" --routers "$(join_by_comma "${callers[@]}")" --operators "$(join_by_comma "${operators[@]}")" \
    --operator-key "$OPERATOR_KEY" --platform "$PLATFORM" --keys "$KEYS" --service "$LLM" --plain "$PLAIN" \
    --policy "$POLICY" "$@"
}

# Prints each router's control traffic by kind, to show which messages it consists of.
control_kinds() {
  local name
  for name in "${ROUTERS[@]}"; do
    log "$name"
    curl -s -m 2 -H "authorization: Bearer $OPERATOR_KEY" "http://${ADDRESS[$name-operators]}/metrics" |
      grep -E 'control_kind|store_calls|control_sent' >&2
  done
}

# A fleet of stand-ins and routers on loopback; sourced by quickstart.sh and measure.sh.
#
# Every process that is started here is remembered by its id, and ended by that id alone.

declare -A PIDS=()     # name -> process id
declare -A ADDRESS=()  # name -> address of its main port
ROUTERS=()             # names of routers
ENGINES=()             # names of engines
SERVICES=()            # names of plain upstreams

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

say() { printf '%s\n' "$*" >&2; }

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
  if [ -n "${KEEP_LOGS:-}" ]; then say "logs are in $LAB"; else rm -rf "$LAB"; fi
}

# start NAME COMMAND…: runs a process with its log in the lab's folder.
start() {
  local name=$1
  shift
  "$@" >"$LAB/$name.log" 2>&1 &
  PIDS[$name]=$!
}

stop_now() {
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null || true
  unset "PIDS[$1]"
}

# stop_planned NAME: tells a process to stop, waits, and gives its exit code.
stop_planned() {
  local pid=${PIDS[$1]} code=0
  kill -TERM "$pid"
  wait "$pid" || code=$?
  unset "PIDS[$1]"
  return $code
}

next_address() { NEXT=127.0.0.1:$PORT; PORT=$((PORT + 1)); }

post() { curl -sS -m 5 -X POST -H 'content-type: application/json' -d "$2" "http://$1" >/dev/null; }

platform_faults() { post "$PLATFORM/admin/faults" "$1"; }

list_vm() { post "$PLATFORM/admin/vms" "[$1]"; }

start_platform() {
  start platform "$BIN/stairvale-standin" platform --listen "$PLATFORM" "$@"
  local i
  for ((i = 0; i < 200; i++)); do
    curl -sf -m 1 "http://$PLATFORM/admin/stats" >/dev/null && return 0
    sleep 0.05
  done
  say "the platform's stand-in doesn't answer: $(cat "$LAB/platform.log")"
  return 1
}

# start_engine NAME ZONE [ARGS…]
start_engine() {
  local name=$1 zone=$2
  shift 2
  next_address
  ADDRESS[$name]=$NEXT
  start "$name" "$BIN/stairvale-standin" engine --listen "$NEXT" --model prairie-8b --check-orders ${ENGINE_ARGS:-} "$@"
  ENGINES+=("$name")
  list_vm "{\"name\":\"$name\",\"role\":\"upstream\",\"zone\":\"$zone\",\"service\":\"$LLM\",\"address\":\"$NEXT\"}"
}

# start_service NAME ZONE
start_service() {
  next_address
  ADDRESS[$1]=$NEXT
  start "$1" "$BIN/stairvale-standin" service --listen "$NEXT"
  SERVICES+=("$1")
  list_vm "{\"name\":\"$1\",\"role\":\"upstream\",\"zone\":\"$2\",\"service\":\"$PLAIN\",\"address\":\"$NEXT\"}"
}

# start_router NAME ZONE
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
  list_vm "{\"name\":\"$name\",\"role\":\"router\",\"zone\":\"$zone\",\"address\":\"$peers\"}"
}

run_router() { start "$1" "$BIN/stairvale-router" --settings "$LAB/$1.yaml"; }

ctl() { STAIRVALE_KEY=$OPERATOR_KEY "$BIN/stairvalectl" --router "${ADDRESS[${ROUTERS[0]}-operators]}" "$@"; }

# start_fleet ROUTERS ENGINES SERVICES: so many a zone; services in all.
start_fleet() {
  local zone i
  start_platform
  for zone in "${ZONES[@]}"; do
    for ((i = 1; i <= $2; i++)); do start_engine "$zone-engine-$i" "$zone"; done
    for ((i = 1; i <= $1; i++)); do start_router "$zone-router-$i" "$zone"; done
  done
  for ((i = 0; i < $3; i++)); do start_service "$PLAIN-$i" "${ZONES[$((i % ${#ZONES[@]}))]}"; done
}

# Waits until the first router listens, applies the document, and waits until all routers are ready.
apply_first() {
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
  wait_usable "$((${#ENGINES[@]} + ${#SERVICES[@]}))"
}

# Waits until the first router may use so many upstreams.
wait_usable() {
  local i
  for ((i = 0; i < 200; i++)); do
    [ "$(ctl --output json status 2>/dev/null | grep -o '"usable":[0-9]*' | head -1 | cut -d: -f2)" = "$1" ] && return 0
    sleep 0.05
  done
  say "not all upstreams became usable; what the parts that ended or are missing say:"
  for i in "${!PIDS[@]}"; do kill -0 "${PIDS[$i]}" 2>/dev/null || say "$i has ended: $(tail -1 "$LAB/$i.log")"; done
  ctl --output json status 2>/dev/null | grep -o '{"upstream"[^}]*"usable":false[^}]*}' >&2 || true
  return 1
}

joined() { local IFS=,; echo "$*"; }

# load ARGS…: runs the load on all routers.
load() {
  local callers=() operators=() name
  for name in "${ROUTERS[@]}"; do
    callers+=("${ADDRESS[$name]}")
    operators+=("${ADDRESS[$name-operators]}")
  done
  "$BIN/stairvale-load" --routers "$(joined "${callers[@]}")" --operators "$(joined "${operators[@]}")" \
    --operator-key "$OPERATOR_KEY" --platform "$PLATFORM" --keys "$KEYS" --service "$LLM" --plain "$PLAIN" \
    --policy "$POLICY" "$@"
}

# Prints what each router sent by kind; to find what control traffic is made of.
control_kinds() {
  local name
  for name in "${ROUTERS[@]}"; do
    say "$name"
    curl -s -m 2 -H "authorization: Bearer $OPERATOR_KEY" "http://${ADDRESS[$name-operators]}/metrics" |
      grep -E 'control_kind|store_calls|control_sent' >&2
  done
}

#!/usr/bin/env bash
# Starts a stand-in of the users' platform and two routers on loopback, sends a request of each kind through each router, prints
# the responses and stops all processes. Exits with 1 if a response has another status than 200.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --quiet -p stairvale-platform -p stairvale-platform-standin
dir=$(mktemp -d)
pids=()
clean_up() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap clean_up EXIT

cat > "$dir/configuration.json" <<'J'
{"version": 1, "limits": {}, "tenants": [{"name": "demo", "api_keys": ["demo-key"]}],
 "services": [{"name": "chat", "engine": {"slots": 8, "kv_capacity": 100000}}, {"name": "plain"}],
 "routes": [
  {"name": "chat", "host": "demo.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 4000, "slo_ms": 500, "service": "chat"},
  {"name": "resume", "host": "demo.example", "path_prefix": "/resume/", "kind": "streaming", "timeout_ms": 4000, "slo_ms": 500, "service": "chat", "resumable": true, "max_attempts": 2},
  {"name": "write", "host": "demo.example", "path_prefix": "/write/", "kind": "unsafe", "timeout_ms": 2000, "slo_ms": 300, "service": "plain"},
  {"name": "read", "host": "demo.example", "path_prefix": "/read/", "kind": "safe", "timeout_ms": 2000, "slo_ms": 300, "service": "plain", "max_attempts": 2}]}
J
store=127.0.0.1:19500
target/release/stairvale-platform-standin --store $store --configuration "$dir/configuration.json" &
pids+=($!)
for number in 1 2; do
  base=$((19500 + 10 * number))
  cat > "$dir/r$number.yaml" <<Y
router: r$number
zone: a
callers: 127.0.0.1:$base
ready: 127.0.0.1:$((base + 1))
peers: 127.0.0.1:$((base + 2))
seeds: ["127.0.0.1:19512"]
store: $store
Y
  target/release/stairvale-platform --settings "$dir/r$number.yaml" > "$dir/r$number.log" &
  pids+=($!)
done
for number in 1 2; do
  ready=http://127.0.0.1:$((19501 + 10 * number))/api/ready
  for _ in $(seq 100); do curl -sf -o /dev/null "$ready" && break; sleep 0.1; done
done
failed=0
printf '%-8s %-8s %-7s %s\n' router route status answer
for number in 1 2; do
  for route in chat resume write read; do
    answer=$(curl -s -w '\n%{http_code}' "http://127.0.0.1:$((19500 + 10 * number))/$route/hello" -H 'Host: demo.example' \
      -H "Request-Id: $route-$number" -H 'X-Api-Key: demo-key' -H 'Deadline-Ms: 3000' -d 'hello')
    status=${answer##*$'\n'}
    printf '%-8s %-8s %-7s %s\n' "r$number" "$route" "$status" "$(head -c 60 <<< "$answer" | tr '\n' ' ')"
    [ "$status" = 200 ] || failed=1
  done
done
exit $failed

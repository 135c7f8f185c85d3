#!/usr/bin/env bash
# Builds stairvale, starts a small fleet on loopback, runs chats through it, prints a table and stops all started processes.
# Exits with a non-zero code if any answer was lost, duplicated or mixed up.
#
#   scripts/quickstart.sh [--json FILE] [--seconds N]
#   scripts/quickstart.sh --platform       runs on a stand-in of the users' platform
set -euo pipefail
cd "$(dirname "$0")/.."

json=""
seconds=10
while [ $# -gt 0 ]; do
  case $1 in
    --json) json=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --platform) exec scripts/platform.sh ;;
    *) echo "usage: scripts/quickstart.sh [--json FILE] [--seconds N] | --platform" >&2; exit 2 ;;
  esac
done

. scripts/lab.sh
log "building…"
cargo build --release --quiet --workspace
BIN=target/release
lab_open
log "starting the platform, 12 engines, 6 routers and 3 plain upstreams in three availability zones…"
start_fleet 2 4 3
log "applying $DOCUMENT…"
apply_document
log "running chats and redemptions for $seconds s…"
arguments=(--scenario quickstart --seconds "$seconds" --apply "$DOCUMENT")
[ -n "$json" ] && arguments+=(--json "$json")
code=0
run_load "${arguments[@]}" || code=$?
[ -n "${KINDS:-}" ] && control_kinds
log "stopping…"
exit $code

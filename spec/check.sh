#!/usr/bin/env bash
# Checks each specification with spin: the real one must hold, each broken variant must fail.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify FILE [DEFINE]: prints states and depth; succeeds if no error is found.
verify() {
  local file=$PWD/$1 define=${2:-}
  (
    cd "$work"
    spin ${define:+-D"$define"} -a "$file" >/dev/null
    gcc -O2 -DSAFETY -DVECTORSZ=2048 -o pan pan.c 2>/dev/null
    ./pan -m1000000 -w26 >out 2>&1 || true
    if grep -q 'max search depth too small' out; then echo "$1 $define: the search was cut off" >&2; exit 9; fi
    errors=$(grep -o 'errors: [0-9]*' out | cut -d' ' -f2)
    states=$(grep 'states, stored' out | awk '{print $1}')
    depth=$(grep -o 'depth reached [0-9]*' out | awk '{print $3}')
    printf '%-16s %-18s errors %s  states %s  depth %s\n' "$1" "${define:-(real)}" "$errors" "$states" "$depth"
    [ "$errors" = 0 ]
  )
}

code=0
for file in claims.pml permits.pml generations.pml; do
  verify "$file" || { echo "$file does not hold"; code=1; }
  for define in $(sed -n 's/^ \*   -D\([A-Z_]*\).*/\1/p' "$file"); do
    if verify "$file" "$define"; then echo "$file holds without $define's mechanism: it proves nothing"; code=1; fi
  done
done
exit $code

#!/usr/bin/env bash
# Builds the programs with each planted fault of test/planted/e2e in a temporary copy of the tree
# and checks that the named end-to-end test fails. A fault that is missed means that the tests no
# longer detect that kind of fault.
set -euo pipefail
cd "$(dirname "$0")/../.."
root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Each line: a fault and the test that must detect it.
cases="${CASES:-
worker-completes-after-lease TestWorkerPaused
stop-without-drain TestDemo
empty-folder-votes TestLostDisk
repeat-dispatched TestEntryKilled
equal-generation-accepted TestOperatorsRace}
"
missed=0
while read -r name test; do
  [ -n "$name" ] || continue
  tree=$work/$name
  mkdir -p "$tree"
  tar -C "$root" -cf - go.mod go.sum core internal cmd platform | tar -C "$tree" -xf -
  patch -s -p1 -d "$tree" <"test/planted/e2e/$name.patch"
  (cd "$tree" && go build -o "$tree/bin/" ./cmd/...)
  if GODWIT_BIN=$tree/bin go test -count=1 -run "^$test\$" ./test/e2e >"$work/$name.log" 2>&1; then
    echo "$name: MISSED by $test"
    missed=1
  else
    echo "$name: found by $test: $(grep -oE '[a-z_]+_test.go:[0-9]+: .*' "$work/$name.log" | tail -1 | cut -c1-160)"
  fi
done <<<"$cases"
exit "$missed"

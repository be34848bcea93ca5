#!/usr/bin/env bash
# Runs every fuzz target of the repository, each for the given time (default 10s).
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-10s}
git grep -lE '^func Fuzz' -- '*_test.go' | while read -r file; do
  grep -oE '^func Fuzz[A-Za-z0-9]+' "$file" | sed 's/^func //' | while read -r target; do
    echo "== $(dirname "$file") $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" -parallel 4 "./$(dirname "$file")" | tail -2
  done
done

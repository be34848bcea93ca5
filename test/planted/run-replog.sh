#!/usr/bin/env bash
# Checks that the randomized tests detect bugs: applies each planted bug to a copy of the tree and
# expects an invariant violation within PLANTED_RUNS runs.
#
# usage: test/planted/run-replog.sh [patch...]   (default: all of test/planted/replog)
#
# The folder of a patch names the package under core/ whose TestSoak must detect the bug. The exit
# status is 1 when a bug was not detected.
set -euo pipefail
cd "$(dirname "$0")/../.."

RUNS=${PLANTED_RUNS:-2000}
TIMEOUT=${PLANTED_TIMEOUT:-100s}

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z --cached --others --exclude-standard | tar --null --files-from=- -cf "$copy/tree.tar"

# find_bug PATCH prints one line with the result and fails when no check detected the bug.
find_bug() {
  local patch=$1 package name tree output status=0
  package=$(basename "$(dirname "$patch")")
  name=$package/$(basename "$patch" .patch)
  tree=$copy/tree
  rm -rf "$tree"
  mkdir "$tree"
  tar -xf "$copy/tree.tar" -C "$tree"
  if ! patch -s -d "$tree" -p1 <"$patch" >"$copy/patch.log" 2>&1; then
    echo "$name: the patch does not apply"
    return 1
  fi
  output=$(cd "$tree" && go test -count=1 -timeout "$TIMEOUT" -run '^TestSoak$' "./core/$package" -soak.runs="$RUNS" 2>&1) || status=$?
  # The result "Unknown" means that a history was too long to check, so it does not count.
  if found=$(grep -v 'is Unknown' <<<"$output" | grep -m1 -o 'violation in run .*'); then
    echo "$name: $found"
    return 0
  fi
  echo "$name: NOT FOUND (status $status): $(grep -m1 -E 'panic|FAIL|ok' <<<"$output" || true)"
  return 1
}

missed=0
[ $# -gt 0 ] || set -- test/planted/replog/*.patch
for patch in "$@"; do
  find_bug "$patch" || missed=1
done
exit $missed

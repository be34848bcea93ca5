#!/usr/bin/env bash
# Plants each known bug of test/planted/dispatch in a temporary copy of the tree
# and expects the randomised tests of core/workload and the tests of core/dispatch to fail. A bug that is not
# found means that the tests have lost their power.
set -euo pipefail
cd "$(dirname "$0")/../.."
root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# copy_tree DIR copies what the tests need.
copy_tree() {
  mkdir -p "$1"
  tar -C "$root" -cf - go.mod go.sum core internal examples | tar -C "$1" -xf -
}

run_tests() {
  (cd "$1" && go test -count=1 -timeout 5m ./core/workload ./core/dispatch) >"$2" 2>&1
}

copy_tree "$work/clean"
if ! run_tests "$work/clean" "$work/clean.log"; then
  echo "the tests fail without a planted bug" >&2
  tail -20 "$work/clean.log" >&2
  exit 1
fi
echo "clean: the tests pass"

missed=0
for patch in "$root"/test/planted/dispatch/*.patch; do
  name=$(basename "$patch" .patch)
  copy_tree "$work/$name"
  if ! patch -s -p1 -d "$work/$name" <"$patch" >/dev/null; then
    echo "$name: the patch does not apply"
    missed=1
    continue
  fi
  (cd "$work/$name" && go vet ./core/workload ./core/dispatch)
  if run_tests "$work/$name" "$work/$name.log"; then
    echo "$name: MISSED"
    missed=1
  else
    echo "$name: found: $(grep -m1 -E 'seed [0-9]+:|_test.go:' "$work/$name.log" | cut -c1-160)"
  fi
done
exit "$missed"

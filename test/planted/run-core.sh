#!/usr/bin/env bash
# Applies each patch of a folder, which plants a known bug, to a temporary copy of the tree and
# checks that the tests of the affected packages fail. A bug that is missed means that the tests no
# longer detect that kind of fault.
#
# usage: test/planted/run-core.sh state|dispatch|storage
set -euo pipefail
cd "$(dirname "$0")/../.."

folder=${1:-}
case "$folder" in
state)
  packages=(./core/state)
  flags=(-run TestRandomised -rapid.shrinktime=1s)
  finding='failed after .*'
  ;;
dispatch)
  packages=(./core/workload ./core/dispatch)
  flags=(-timeout 5m)
  finding='.*(seed [0-9]+:|_test.go:).*'
  ;;
storage)
  packages=(./internal/replica)
  flags=(-run 'TestGroupPowerLoss$' -power.seed=3 -power.runs=4 -failfast -timeout 10m)
  finding='powerloss_test.go:[0-9]+: (violated promises|command not committed|replica [0-9]+ cannot recover).*'
  ;;
*)
  echo "usage: $0 state|dispatch|storage" >&2
  exit 2
  ;;
esac

# Known failures would count as findings.
if [ -f KNOWN-RED.txt ]; then
  flags+=(-skip "^($(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|'))\$")
fi

root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# copy_tree DIR copies the files that the tests need to DIR.
copy_tree() {
  mkdir -p "$1"
  tar -C "$root" -cf - go.mod go.sum core internal examples | tar -C "$1" -xf -
}

# run_tests DIR LOG runs the tests in DIR and writes their output to LOG.
run_tests() {
  (cd "$1" && go test -count=1 "${packages[@]}" "${flags[@]}") >"$2" 2>&1
}

copy_tree "$work/clean"
if ! run_tests "$work/clean" "$work/clean.log"; then
  echo "the tests fail without a planted bug" >&2
  tail -20 "$work/clean.log" >&2
  exit 1
fi
echo "clean: the tests pass"

missed=0
for patch in "$root"/test/planted/"$folder"/*.patch; do
  name=$(basename "$patch" .patch)
  copy_tree "$work/$name"
  if ! patch -s -p1 -d "$work/$name" <"$patch" >/dev/null; then
    echo "$name: the patch does not apply"
    missed=1
    continue
  fi
  (cd "$work/$name" && go vet "${packages[@]}")
  if run_tests "$work/$name" "$work/$name.log"; then
    echo "$name: MISSED"
    missed=1
  else
    echo "$name: found: $(grep -m1 -oE "$finding" "$work/$name.log" | cut -c1-160)"
  fi
done
exit "$missed"

#!/usr/bin/env bash
# Runs all Go tests with the race detector. Skips the tests listed in KNOWN-RED.txt and prints the
# list. The packages in `alone` measure the memory of processes; each runs by itself after the others.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -f KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: \([A-Za-z0-9_]*\)$/\1/p' KNOWN-RED.txt)
  if [ -z "$names" ]; then
    echo "KNOWN-RED.txt lists no test" >&2
    exit 1
  fi
  echo "skipped known failures:"
  cat KNOWN-RED.txt
  skip=(-skip "^($(paste -sd '|' <<<"$names"))\$")
fi
go=${GO:-go}
alone=(./test/hostileclients)
alone_names=$("$go" list "${alone[@]}")
all_names=$("$go" list ./...)
mapfile -t others < <(grep -vxF "$alone_names" <<<"$all_names")
# The randomised runs of core/dispatch take several minutes with the race detector beside other packages.
timeout=30m
status=0
"$go" test -race -count=1 -timeout "$timeout" "${skip[@]}" "${others[@]}" || status=$?
for package in "${alone[@]}"; do
  "$go" test -race -count=1 -timeout "$timeout" "${skip[@]}" "$package" || status=$?
done
exit "$status"

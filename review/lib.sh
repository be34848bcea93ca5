# Functions for the scripts of the cases. A script sets REVIEW_CASE to its folder and sources this
# file in the root of the repository.
set -u
CONTROLS=${CONTROLS:-5}
ENTRIES=${ENTRIES:-3}
STANDINS=target/review-standins

# fail_to_run ends the script: the case could not run.
fail_to_run() { echo "not run: $*"; exit 2; }

# keep_running starts a program again RESTART_DELAY seconds after it has ended, until the folder has a file
# "over". Its process id is in NAME.pid. At its first start the core has bootstrap = true.
keep_running() {
  local name=$1 program=$2 settings="$RUN_DIR/$1.toml"
  while [ ! -e "$RUN_DIR/over" ] && [ ! -e "$RUN_DIR/$name.gone" ]; do
    GODWITLINK_CONFIG="$settings" "$program" run --settings "$settings" >>"$RUN_DIR/$name.log" 2>&1 &
    echo $! >"$RUN_DIR/$name.pid"
    wait $! 2>/dev/null
    echo "$name ended with status $?" >>"$RUN_DIR/ends"
    [ -e "$RUN_DIR/$name.again.toml" ] && settings="$RUN_DIR/$name.again.toml"
    sleep "${RESTART_DELAY:-1}"
  done
}

# end_all ends the programs that this script started.
end_all() {
  touch "$RUN_DIR/over"
  local file pid
  for file in "$RUN_DIR"/*.pid; do
    pid=$(cat "$file") && kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && cp -r "$RUN_DIR" "$KEEP"
  rm -rf "$RUN_DIR"
  [ -n "$NETWORK_LOCK" ] && rmdir "$NETWORK_LOCK" 2>/dev/null
}

# prepare_system chooses addresses and writes the settings. SPARES more control machines get settings
# without a first start.
prepare_system() {
  [ -x target/godwit-platform-control ] && [ -x target/godwit-platform-entry ] && [ -x "$STANDINS" ] || fail_to_run "build first"
  RUN_DIR=$(mktemp -d)
  NETWORK_LOCK=
  trap end_all EXIT
  trap 'exit 2' INT TERM
  # A folder reserves the addresses for this run.
  for _ in $(seq 100); do
    NETWORK=127.$((10 + RANDOM % 200))
    mkdir "${TMPDIR:-/tmp}/review-network-$NETWORK" 2>/dev/null && break
    NETWORK=
  done
  [ -n "$NETWORK" ] || fail_to_run "no addresses"
  NETWORK_LOCK=${TMPDIR:-/tmp}/review-network-$NETWORK
  "$STANDINS" settings --dir "$RUN_DIR" --net "$NETWORK" --controls "$CONTROLS" --spares "${SPARES:-0}" --entries "$ENTRIES" || fail_to_run settings
}

# start_system prepares and starts all programs.
start_system() {
  prepare_system
  local i
  for ((i = 0; i < CONTROLS; i++)); do keep_running "control-$i" target/godwit-platform-control & done
  for ((i = 0; i < ENTRIES; i++)); do keep_running "entry-$i" target/godwit-platform-entry & done
}

# play plays a scenario, without its disruption if the second argument is 0, and returns its status.
play() {
  local trouble=true
  [ "$2" = 0 ] && trouble=false
  "$STANDINS" "$1" --dir "$RUN_DIR" --net "$NETWORK" --controls "$CONTROLS" --spares "${SPARES:-0}" --entries "$ENTRIES" \
    --record "$REVIEW_CASE/record.txt" --trouble="$trouble"
}

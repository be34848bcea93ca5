# Shell functions of the cases in REPORT-2.md. A run.sh sources this file, starts the programs of the system
# with the commands of deploy/system.toml and plays one case of review/standins2.

cd "$(dirname "$0")" || exit 2
folder=$(pwd)
root=$(cd ../.. && pwd)
work=$(mktemp -d) || exit 2
mkdir "$work/pids"
started=""
job=$(od -An -N8 -tx8 /dev/urandom | tr -d ' ')
rm -f "$folder/record.txt"

finish() {
	for pid in $started; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in godwit-platform-control godwit-platform-entry review-2/standins2; do
	if [ ! -x "$root/target/$program" ]; then
		echo "target/$program is missing: build deploy/system.toml and run review/build-2.sh" >&2
		exit 2
	fi
done

# Each process has a loopback address of its own; the ports are the same on all of them.
net="127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))"
set -- $("$root/target/review-2/standins2" ports "$net.1")
[ $# -eq 5 ] || exit 2
port_control=$1 port_internal=$2 port_metrics=$3 port_clients=$4 port_ready=$5
seeds="\"$net.11:$port_control\", \"$net.12:$port_control\", \"$net.13:$port_control\""

common() { # NAME IP
	cat <<EOF
name = "$1"
region = "region-1"
failure_domain = "z1"
log_level = "info"
listen_internal = "$2:$port_internal"
listen_metrics = "$2:$port_metrics"
memory_mb = 284
open_files = 4096
seeds = [$seeds]
adviser = ""
EOF
}

start() { # PROGRAM NAME
	(cd "$root" && exec "target/$1" run --settings "$work/$2.toml") >>"$work/$2.log" 2>&1 &
	started="$started $!"
	echo $! >"$work/pids/$2"
}

write_control() { # NUMBER BOOTSTRAP
	ip="$net.$((10 + $1))"
	{
		common "core-$1" "$ip"
		cat <<EOF
listen_control = "$ip:$port_control"
tolerate_replicas = 2
data_dir = "$work/core-$1"
disk_mb = 128
worker_lease_max = "6000ms"
bootstrap = $2
EOF
	} >"$work/core-$1.toml"
}

start_control() { # NUMBER BOOTSTRAP
	write_control "$1" "$2"
	mkdir -p "$work/core-$1"
	start godwit-platform-control "core-$1"
}

start_entry() { # NUMBER
	ip="$net.$((100 + $1))"
	{
		common "edge-$1" "$ip"
		cat <<EOF
listen_clients = "$ip:$port_clients"
listen_ready = "$ip:$port_ready"
stop_grace = "6s"
EOF
	} >"$work/entry-$1.toml"
	start godwit-platform-entry "entry-$1"
}

addresses() { # FIRST LAST PORT
	list=""
	for n in $(seq "$1" "$2"); do
		list="$list,$net.$n:$3"
	done
	echo "${list#,}"
}

stop() { # SIGNAL NAME
	kill "-$1" "$(cat "$work/pids/$2")" 2>/dev/null
}

note() { # TEXT
	echo "$(date -u +%H:%M:%S.%3N)  $1" >>"$folder/record.txt"
}

# Plays a step of a case and returns its exit status. With TROUBLE 0 it plays no disruption.
step() { # CASE CONTROLS TROUBLE
	"$root/target/review-2/standins2" --controls "$2" --entries "$(addresses 101 102 "$port_clients")" --ip "$net.1" \
		--job "$job" --record "$folder/record.txt" --trouble="$([ "$3" = 0 ] && echo false || echo true)" "$1"
}

# Plays a case and ends with its exit status.
play() { # CASE CONTROLS TROUBLE
	step "$1" "$2" "$3"
	status=$?
	[ -n "$KEEP_LOGS" ] && cp "$work"/*.log "$KEEP_LOGS"
	exit $status
}

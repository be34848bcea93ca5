#!/bin/bash
# A core machine is replaced, and the seeds are exchanged. In the final fault all processes of the core are
# killed, and one machine loses its disk.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1}
. "$(dirname "$0")/../lib-2.sh"
for n in 1 2 3 4 5; do start_control $n true; done
for n in 1 2; do start_entry $n; done
step accept "$(addresses 11 15 "$port_control")" "$TROUBLE" || exit 2
if [ "$TROUBLE" != 0 ]; then
	note "core-2, a seed, is removed for good; core-6 is added at a new address with an empty disk"
	stop KILL core-2
	seeds="\"$net.11:$port_control\", \"$net.13:$port_control\", \"$net.14:$port_control\""
	sleep 1
	start_control 6 false
	sleep 8
	note "the settings name other seeds: core-4, core-5, core-6"
	seeds="\"$net.14:$port_control\", \"$net.15:$port_control\", \"$net.16:$port_control\""
	for n in 1 3 4 5 6; do
		write_control $n false
		stop HUP core-$n
	done
	sleep 4
	note "the final fault: all processes of the core are killed, core-6 loses its disk, all start again"
	for n in 1 3 4 5 6; do stop KILL core-$n; done
	rm -rf "$work/core-6"
	sleep 0.5
	for n in 1 3 4 5 6; do start_control $n false; done
fi
play recover "$(addresses 11 11 "$port_control"),$(addresses 13 16 "$port_control")" "$TROUBLE"

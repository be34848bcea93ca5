#!/bin/bash
# Disk losses over and over, never more than two at once: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_CASE=review/2
# With TROUBLE=0 the script does the same without the disruption.
TROUBLE=${TROUBLE:-1}
RESTART_DELAY=0.2
. review/lib.sh
start_system
play wipes "$TROUBLE"

#!/bin/bash
# Many changes of a large configuration: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_CASE=review/1
# With TROUBLE=0 the script does the same without the disruption.
TROUBLE=${TROUBLE:-1}
. review/lib.sh
start_system
play configs "$TROUBLE"

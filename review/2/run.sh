#!/bin/bash
# Disk losses over and over, never more than two at once: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_CASE=review/2
RESTART_DELAY=0.2
. review/lib.sh
start_system
play wipes

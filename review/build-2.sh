#!/bin/sh
# Builds the stand-ins of the cases in review/REPORT-2.md.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standins2

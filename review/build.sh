#!/bin/bash
# Builds the stand-ins of the scripts, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-standins ./review/standins

#!/usr/bin/env bash
# Fails where the committed generated code does not belong to the committed
# proto file. Needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
sha256sum --quiet -c internal/rpc/rpcpb/gen.sum || {
  echo "generated code is out of date: run scripts/generate.sh" >&2
  exit 1
}

#!/usr/bin/env bash
# Fails when the committed generated code does not match the committed proto file. It compares
# digests and does not need the generators.
set -euo pipefail
cd "$(dirname "$0")/.."
sha256sum --quiet -c internal/rpc/rpcpb/gen.sum || {
  echo "generated code is out of date: run scripts/generate.sh" >&2
  exit 1
}

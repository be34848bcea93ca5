#!/usr/bin/env bash
# Generates the protobuf and twirp code and records the digests for scripts/check-generated.sh.
# Requires protoc, which the build does not need.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
dir=internal/rpc/rpcpb
PATH="$bin:$PATH" protoc -I "$dir" \
  --go_out="$dir" --go_opt=paths=source_relative \
  --twirp_out="$dir" --twirp_opt=paths=source_relative "$dir/rpc.proto"
sha256sum "$dir/rpc.proto" "$dir/rpc.pb.go" "$dir/rpc.twirp.go" > "$dir/gen.sum"

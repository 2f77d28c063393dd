#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
export GOWORK="$PWD/go.work" GOFLAGS="-buildvcs=false -gcflags=all=-d=fmahash=qn"
mkdir -p bin
go build -o bin/ ./drill

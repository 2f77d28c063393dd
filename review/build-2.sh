#!/usr/bin/env bash
# Builds the programs of the second review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
export GOWORK="$PWD/go.work" GOFLAGS="-buildvcs=false -gcflags=all=-d=fmahash=qn"
mkdir -p bin
go build -o bin/ ./worker ./6 ./7 ./8 ./9

#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/, beside the programs of the deploy file. It needs no network: the module has
# no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
top=$PWD
cd review/stand2
GOFLAGS=-mod=mod GOPROXY=off go build -o "$top/target/review-stand-2" .

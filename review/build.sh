#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review; it needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../../target/review
go build -o ../../target/review/stand .

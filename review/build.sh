#!/usr/bin/env bash
# Builds the stand-in of the scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin .

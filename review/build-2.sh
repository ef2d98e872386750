#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standin-2 -o ../../target/review-standin-2 .

#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review-3. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/standin-3

#!/usr/bin/env bash
# Builds the stand-ins and callers of the scripted cases of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases2 ./review/_cases2

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run the build of deploy/system.toml before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_cases

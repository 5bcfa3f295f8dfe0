#!/usr/bin/env bash
# Runs the case "begun" of the second review: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. The stand-ins are built by review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-cases2 ] && [ -x target/redwinglock ] || exit 2
CASE_DIR="$here" exec target/review-cases2 begun

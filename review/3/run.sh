#!/usr/bin/env bash
# Runs the case; exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/redwinglock ] && [ -x target/review-cases ] || exit 2
exec target/review-cases stop review/3

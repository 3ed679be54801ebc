#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review-3/bin/third_cases ] || exit 2
exec target/review-3/bin/third_cases countless-tasks review/10

#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. Without the disruption if TROUBLE is 0.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/agatedale-gateway ] && [ -x target/review-3/bin/review-case-14 ] || exit 2
exec target/review-3/bin/review-case-14 review/14/record.txt

#!/usr/bin/env bash
# Builds the drivers of the cases 11 to 15, and the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j8

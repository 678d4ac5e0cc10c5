#!/usr/bin/env bash
# Builds the program of the cases 6 to 10, with every stand-in that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B build-review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build-review-2 -j "$(nproc)"

#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
Flags=(-std=c++20 -O1 -Wall -Iinclude -I. -Ireview/harness)
Libraries=(-lPocoNet -lPocoJSON -lPocoFoundation -lfmt -pthread)
Shared=(review/harness/*.cpp platform/standins/store_standin.cpp
  src/http/function_server.cpp src/http/address.cpp)
Objects=()
for Source in "${Shared[@]}"; do
  Object="review/bin/$(tr / - <<<"${Source%.cpp}").o"
  g++ "${Flags[@]}" -c "$Source" -o "$Object" &
  Objects+=("$Object")
done
for Job in $(jobs -p); do wait "$Job"; done
for Case in review/[1-5]/case.cpp; do
  [ -f "$Case" ] || continue
  Number=$(basename "$(dirname "$Case")")
  g++ "${Flags[@]}" "$Case" "${Objects[@]}" "${Libraries[@]}" \
    -o "review/bin/case-$Number"
done

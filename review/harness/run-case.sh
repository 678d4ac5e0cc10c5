#!/usr/bin/env bash
# Runs case NUMBER: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 the disruption is left out.
set -uo pipefail
cd "$(dirname "$0")/../.."
Number=$1
Program=target/bin/agatedale-gateway
Case=review/bin/case-$Number
if [ ! -x "$Program" ] || [ ! -x "$Case" ]; then
  echo "build the deploy file's program and run review/build.sh first" >&2
  exit 2
fi
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout --kill-after=5 110 "$Case" "$Program" "review/$Number/record.txt" \
  "$Folder"
Code=$?
[ "$Code" -le 1 ] || Code=2
exit "$Code"

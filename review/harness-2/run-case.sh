# Sourced by the scripts of the cases: run_case FOLDER CASE runs one of them and
# returns 0 if the rule held, 1 if it was broken and 2 if the case cannot run.
run_case() {
  local Folder=$1 Case=$2 Root Work Code
  Root=$(cd "$Folder/../.." && pwd)
  Work=$(mktemp -d) || return 2
  timeout 118 "$Root/build-review-2/review-2" "$Case" \
    "$Root/target/bin/agatedale-gateway" "$Work" "$Folder/record.txt"
  Code=$?
  rm -rf "$Work"
  [ "$Code" -le 1 ] || Code=2
  return "$Code"
}

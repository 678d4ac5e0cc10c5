# Functions that start and stop a small fleet on this machine's loopback
# addresses. Sourced by the demo and by the measurements.
#
#   fleet_begin out/demo            a fresh folder; stops all at exit
#   fleet_platform                  the platform's stand-in on 127.0.0.1:7000
#   fleet_backends samples/maraval [OPTIONS]
#   fleet_vm north-a-1 1 north-a tt-north
#   fleet_wait_ready

BIN=${BIN:-build/bin}
PLATFORM=${PLATFORM:-127.0.0.1:7000}
declare -A FLEET_PIDS=()

fleet_begin() {
  FLEET_DIR=$1
  rm -rf "$FLEET_DIR"
  mkdir -p "$FLEET_DIR"
  : >"$FLEET_DIR/fleet.txt"
  trap fleet_end EXIT
}

# Ends everything that was started, by process id.
fleet_end() {
  local Name
  for Name in "${!FLEET_PIDS[@]}"; do
    kill -CONT "${FLEET_PIDS[$Name]}" 2>/dev/null || true
    kill -KILL "${FLEET_PIDS[$Name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

fleet_platform() {
  "$BIN/standin-platform" --address "$PLATFORM" \
    --fleet "$FLEET_DIR/fleet.txt" "$@" 2>"$FLEET_DIR/platform.log" &
  FLEET_PIDS[platform]=$!
}

# Starts one process that plays every backend server of a configuration.
fleet_backends() {
  local Folder=$1 Servers=() Line Name=""
  shift
  while read -r Line; do
    case $Line in
    "[servers."*) Name=${Line#\[servers.} && Name=${Name%\]} ;;
    "address = "*) Servers+=(--server "$Name=$(cut -d'"' -f2 <<<"$Line")") ;;
    esac
  done <"$Folder/30-servers.toml"
  "$BIN/standin-backend" "${Servers[@]}" "$@" 2>"$FLEET_DIR/backends.log" &
  FLEET_PIDS[backends]=$!
}

# fleet_vm NAME NUMBER ZONE REGION: starts an entry VM on 127.0.1.NUMBER.
fleet_vm() {
  local Name=$1 Ip=127.0.1.$2 Zone=$3 Region=$4
  cat >"$FLEET_DIR/$Name.toml" <<SETTINGS
vm = "$Name"
ip = "$Ip"
zone = "$Zone"
region = "$Region"
platform_address = "$PLATFORM"
${FLEET_SETTINGS:-}
SETTINGS
  "$BIN/agatedale-entry" --settings "$FLEET_DIR/$Name.toml" \
    >>"$FLEET_DIR/$Name.log" 2>&1 &
  FLEET_PIDS[$Name]=$!
  grep -q "^$Name " "$FLEET_DIR/fleet.txt" ||
    echo "$Name $Ip $Zone live" >>"$FLEET_DIR/fleet.txt"
}

# fleet_unlist NAME: the platform's list will drop the VM.
fleet_unlist() {
  sed -i "/^$1 /d" "$FLEET_DIR/fleet.txt"
}

# Waits until every listed VM is ready, at most 15 s.
fleet_wait_ready() {
  local Try
  for Try in $(seq 150); do
    "$BIN/agatedalectl" status --platform "$PLATFORM" 2>/dev/null |
      grep -qE 'not-ready|does not answer' || return 0
    sleep 0.1
  done
  echo "the fleet did not become ready" >&2
  return 1
}

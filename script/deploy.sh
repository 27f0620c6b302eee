# Functions that run a deployment as separate processes on loopback. Sourced by the other scripts.
# stop_all ends every process that was started, by its process id.

export TURMERICDALE_TOKEN=admin-token
work=$(mktemp -d)
bin="$work/bin"
pids=()
platform=127.0.0.1:20000
service_time=2ms

build() {
  mkdir -p "$bin"
  go build -o "$bin" ./cmd/turmericdale ./cmd/standin
}

# start NAME COMMAND...: runs a process in the background; its process id and output go to files in $work under its name.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  echo $! >"$work/$name.pid"
}

stop_all() {
  local pid
  # A kill of a process that has already ended fails; the rest must still be ended. SIGCONT lets a frozen process end.
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}

clean_up() {
  stop_all
  rm -rf "$work"
}

# wait_for SECONDS WHAT COMMAND...: repeats a command until it succeeds; fails after that many seconds of pauses.
wait_for() {
  local tries=$(($1 * 10)) what=$2
  shift 2
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "timed out waiting for $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

# start_deployment NAME [LAYOUT FLAGS...]: starts the platform stand-in, the nodes and the upstreams of v1; writes vms.tsv
# to $work.
start_deployment() {
  start_nodes "$@"
  start_upstreams '' v1 0
  wait_for 20 "all routes to answer" all_routes_answer
}

# start_nodes NAME [LAYOUT FLAGS...]: starts the platform stand-in and the nodes, and makes the deployment's settings.
start_nodes() {
  local deployment=$1
  shift
  slots=12 connections=120
  if [ "$deployment" = kettle ]; then slots=18 connections=110; fi
  start platform "$bin/standin" platform --address "$platform"
  "$bin/standin" layout --deployment "$deployment" --directory "$work" --platform "$platform" \
    --admin-token-sha256 "$(printf '%s' "$TURMERICDALE_TOKEN" | sha256sum | cut -d' ' -f1)" "$@"
  if [ -n "${processors:-}" ]; then sed -i "s/\"name\":/\"processors\": $processors, \"name\":/" "$work"/*.jsonc; fi
  while IFS=$'\t' read -r node _; do
    start "node-$node" "$bin/turmericdale" node run --settings "$work/$node.jsonc"
  done <"$work/vms.tsv"
  TURMERICDALE_NODE=$(head -n 1 "$work/vms.tsv" | cut -f4)
  export TURMERICDALE_NODE
  nodes=$(wc -l <"$work/vms.tsv")
  wait_for 60 "the nodes to know each other" all_members_known
  "$bin/turmericdale" setting set --file "examples/$deployment/settings.jsonc" >/dev/null
}

all_members_known() {
  [ "$("$bin/turmericdale" node status | awk -F'\t' '$1 == "members" {print $2}')" = "$nodes" ]
}

# start_upstreams SERVICE VERSION INDEX [FLAGS...]: starts an upstream of a version next to each node of a service, or of
# all services if SERVICE is empty. INDEX chooses the upstream port of the VM, from 0.
start_upstreams() {
  local service=$1 version=$2 index=$3
  shift 3
  while IFS=$'\t' read -r node node_service _ _ announce first second third; do
    if [ -n "$service" ] && [ "$service" != "$node_service" ]; then continue; fi
    local addresses=("$first" "$second" "$third")
    start "up-$node-$version" "$bin/standin" upstream --service "$node_service" --version "$version" \
      --address "${addresses[$index]}" --node "$announce" --slots "$slots" --connections "$connections" --service-time "$service_time" "$@"
  done <"$work/vms.tsv"
}

# stop_upstreams SERVICE VERSION: stops the upstreams of a version.
stop_upstreams() {
  local service=$1 version=$2 file
  for file in "$work/up-$service-"*"-$version.pid"; do kill "$(cat "$file")"; done
}

# caller_addresses: the addresses of all nodes for callers, separated by commas.
caller_addresses() { cut -f3 "$work/vms.tsv" | paste -sd, -; }

all_routes_answer() {
  local caller service
  while IFS=$'\t' read -r _ service _; do
    for caller in $(cut -f3 "$work/vms.tsv"); do
      curl -sf -o /dev/null "http://$caller/$service" || return 1
    done
  done <"$work/vms.tsv"
}

# declare_move SERVICE TEAM VERSION SECONDS [MORE JSON FIELDS]: declares a move whose deadline is in that many seconds.
declare_move() {
  local deadline
  deadline=$(date -u -d "+$4 seconds" +%Y-%m-%dT%H:%M:%SZ)
  "$bin/turmericdale" setting set "/teams/$2/moves/$1" "{\"version\": \"$3\", \"deadline\": \"$deadline\"${5:+, $5}}"
}

# ledger_sum SERVICE INDEX FIELD: the sum of a field of the execution counts over a service's upstreams of one port index.
ledger_sum() {
  local service=$1 column=$(($2 + 6)) field=$3 address
  for address in $(awk -F'\t' -v s="$service" -v c="$column" '$2 == s {print $c}' "$work/vms.tsv"); do
    curl -sf "http://$address/control/ledger" | grep -o "\"$field\":[0-9]*" | cut -d: -f2
  done | awk '{sum += $1} END {print sum + 0}'
}

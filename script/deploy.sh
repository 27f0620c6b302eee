# Functions that run a deployment as separate processes on loopback. Sourced by the other scripts.
# Every process that is started is ended by stop_all, by its id.

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

# start NAME COMMAND...: runs a process in the background and keeps its id and output under its name.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  echo $! >"$work/$name.pid"
}

stop_all() {
  local pid
  # Processes that have ended already must not keep the others from being ended.
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}

finish() {
  stop_all
  rm -rf "$work"
}

# wait_for SECONDS WHAT COMMAND...: repeats a command until it succeeds.
wait_for() {
  local tries=$(($1 * 10)) what=$2
  shift 2
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "gave up waiting for $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

# start_deployment NAME [LAYOUT FLAGS...]: platform, nodes and first-version upstreams; leaves vms.tsv in $work.
start_deployment() {
  start_nodes "$@"
  start_upstreams '' v1 0
  wait_for 20 "the upstreams" all_routes
}

# start_nodes NAME [LAYOUT FLAGS...]: platform and nodes with the deployment's settings.
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
  wait_for 60 "the nodes to know each other" all_members
  "$bin/turmericdale" setting set --file "examples/$deployment/settings.jsonc" >/dev/null
}

all_members() {
  [ "$("$bin/turmericdale" node status | awk -F'\t' '$1 == "members" {print $2}')" = "$nodes" ]
}

# start_upstreams SERVICE VERSION INDEX [FLAGS...]: an upstream beside each node of a service, or of all services.
start_upstreams() {
  local service=$1 version=$2 index=$3
  shift 3
  while IFS=$'\t' read -r node beside _ _ announce first second third; do
    if [ -n "$service" ] && [ "$service" != "$beside" ]; then continue; fi
    local addresses=("$first" "$second" "$third")
    start "up-$node-$version" "$bin/standin" upstream --service "$beside" --version "$version" \
      --address "${addresses[$index]}" --node "$announce" --slots "$slots" --connections "$connections" --service-time "$service_time" "$@"
  done <"$work/vms.tsv"
}

stop_upstreams() {
  local service=$1 version=$2 file
  for file in "$work/up-$service-"*"-$version.pid"; do kill "$(cat "$file")"; done
}

# callers: the callers' addresses, separated by commas.
callers() { cut -f3 "$work/vms.tsv" | paste -sd, -; }

all_routes() {
  local caller service
  while IFS=$'\t' read -r _ service _; do
    for caller in $(cut -f3 "$work/vms.tsv"); do
      curl -sf -o /dev/null "http://$caller/$service" || return 1
    done
  done <"$work/vms.tsv"
}

# declare SERVICE TEAM VERSION SECONDS [MORE JSON FIELDS]: declares a move with a deadline from now.
declare_move() {
  local deadline
  deadline=$(date -u -d "+$4 seconds" +%Y-%m-%dT%H:%M:%SZ)
  "$bin/turmericdale" setting set "/teams/$2/moves/$1" "{\"version\": \"$3\", \"deadline\": \"$deadline\"${5:+, $5}}"
}

# ledgers SERVICE INDEX FIELD: the sum of a ledger's field over the upstreams of a version.
ledger_sum() {
  local service=$1 column=$(($2 + 6)) field=$3 address
  for address in $(awk -F'\t' -v s="$service" -v c="$column" '$2 == s {print $c}' "$work/vms.tsv"); do
    curl -sf "http://$address/control/ledger" | grep -o "\"$field\":[0-9]*" | cut -d: -f2
  done | awk '{sum += $1} END {print sum + 0}'
}

#!/usr/bin/env bash
# Starts and stops a deployment on loopback: stand-ins, agents and entries of a document.
#   tools/fleet.sh start DOCUMENT FOLDER   settings, logs and process ids go to FOLDER
#   tools/fleet.sh start-one NAME FOLDER   starts one process of it again
#   tools/fleet.sh stop FOLDER             ends all that start has started, by process id
# Ports: an agent on port P has its upstream on P+2000 and its operator endpoint on P+4000; an
# entry with peer port P has its operator endpoint on P+4000; the platform is on PREFIX900 where
# PREFIX is the first two digits of the agents' ports.
# Environment: UPSTREAM_MODEL, UPSTREAM_PLAIN: further options of the upstream stand-ins.
set -euo pipefail
build=${BERYLBARROW_BUILD:-$(dirname "$0")/../build}

# Prints "entry NAME DOMAIN CALLERS PEERS" and "upstream NAME DOMAIN AGENT SERVICE KIND" lines.
processes() {
  awk '
    function flush() {
      if (caller != "") print "entry", name, domain, caller, peer
      if (agent != "") print "upstream", name, domain, agent, service, kind
      caller = peer = agent = ""
    }
    { sub(/^ *- /, "&"); line = $0; gsub(/^[ -]+/, "", line); split(line, pair, ": ") }
    /^services:/ { flush(); in_services = 1 }
    /^accounts:/ { flush(); exit }
    in_services && /^  - name:/ { flush(); service = pair[2] }
    in_services && /^    kind:/ { kind = pair[2] }
    pair[1] == "name" && !(in_services && /^  - name:/) { flush(); name = pair[2] }
    pair[1] == "domain" { domain = pair[2] }
    pair[1] == "caller_address" { caller = pair[2] }
    pair[1] == "peer_address" { peer = pair[2] }
    pair[1] == "agent_address" { agent = pair[2] }
  ' "$1"
}

shift_port() { echo "${1%:*}:$((${1##*:} + $2))"; }

write_settings() { # NAME DOMAIN PEERS ROLE-LINES
  cat >"$folder/$1.yaml" <<SETTINGS
process: {name: $1, domain: $2}
listen:
  peers: $3
  operators: $(shift_port "$3" 4000)
$4
platform: {configuration_service: $platform, instance_list: $platform}
seeds: [$seeds]
SETTINGS
}

launch() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 </dev/null &
  echo "$name $!" >>"$folder/pids"
  echo "$name $*" >>"$folder/commands"
}

start() {
  local document=$1 kind
  folder=$2
  mkdir -p "$folder"
  : >"$folder/pids"
  : >"$folder/commands"
  processes "$document" >"$folder/processes"
  local prefix
  prefix=$(awk '$1 == "upstream" { split($4, a, ":"); print substr(a[2], 1, 2); exit }' "$folder/processes")
  platform=127.0.0.1:${prefix}900
  seeds=$(awk '$1 == "entry" { printf "%s%s", (n++ ? ", " : ""), $5 }' "$folder/processes")
  cp "$document" "$folder/document.yaml"
  awk '{ printf "%s{\"name\":\"%s\",\"address\":\"%s\",\"domain\":\"%s\",\"state\":\"live\"}",
         (n++ ? "," : "["), $2, $4, $3 } END { print "]" }' "$folder/processes" >"$folder/instances.json"
  launch platform "$build/berylbarrow-platform" --listen "$platform" \
    --config "$folder/document.yaml" --instances "$folder/instances.json"
  while read -r _ name domain address service kind; do
    write_settings "$name" "$domain" "$address" \
      "upstream: {address: $(shift_port "$address" 2000), service: $service}"
    # shellcheck disable=SC2086
    launch "$name-upstream" "$build/berylbarrow-upstream" \
      --listen "$(shift_port "$address" 2000)" --kind "$kind" \
      $([ "$kind" = model ] && echo "${UPSTREAM_MODEL:-}" || echo "${UPSTREAM_PLAIN:-}")
    launch "$name" "$build/berylbarrow" agent "$folder/$name.yaml"
  done < <(grep ^upstream "$folder/processes")
  while read -r _ name domain callers peers; do
    write_settings "$name" "$domain" "$peers" "  callers: $callers"
    launch "$name" "$build/berylbarrow" entry "$folder/$name.yaml"
  done < <(grep ^entry "$folder/processes")
  wait_until_serving
}

wait_until_serving() {
  local name callers service
  for _ in $(seq 300); do
    local waiting=0
    while read -r _ name _ callers _; do
      while read -r service; do
        curl -sf -m 2 -o /dev/null "http://$callers/v1/address?service=$service&account=probe" || waiting=1
      done < <(awk '$1 == "upstream" { print $5 }' "$folder/processes" | sort -u)
    done < <(grep ^entry "$folder/processes")
    [ "$waiting" = 0 ] && return 0
    sleep 0.1
  done
  echo "fleet: the entries do not serve after 30 s; see the logs in $folder" >&2
  return 1
}

start_one() {
  folder=$2
  local line
  line=$(grep "^$1 " "$folder/commands" | tail -n 1)
  # shellcheck disable=SC2086
  launch ${line}
}

stop() {
  folder=$1
  [ -f "$folder/pids" ] || return 0
  local pids
  pids=$(awk '{ print $2 }' "$folder/pids")
  # shellcheck disable=SC2086
  kill -CONT $pids 2>/dev/null || true
  # shellcheck disable=SC2086
  kill -TERM $pids 2>/dev/null || true
  for _ in $(seq 150); do
    # shellcheck disable=SC2086
    kill -0 $pids 2>/dev/null || break
    sleep 0.1
  done
  # shellcheck disable=SC2086
  kill -KILL $pids 2>/dev/null || true
  rm -f "$folder/pids"
}

case "${1:-}" in
  start) start "$2" "$3" ;;
  start-one) start_one "$2" "$3" ;;
  stop) stop "$2" ;;
  *) sed -n '2,5p' "$0"; exit 2 ;;
esac

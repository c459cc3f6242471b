#!/usr/bin/env bash
# Request path on the real programs: added latency, processor time per request,
# highest rate of one thread, memory per caller connection.
source "$(dirname "$0")/common.sh"

seconds=10
slots=64

objects() {
    local count=$1 workers=$2 fleet="" hosts=""
    for ((i = 1; i <= count; ++i)); do
        fleet+="$(host_entry "daemon-$i" $((fleet_base + i)) "z$i")"$'\n'
    done
    for ((i = 1; i <= workers; ++i)); do
        hosts+="$(host_entry "worker-$i" $((worker_base + i)) z1)"$'\n'
    done
    cat <<END
{"configuration": {"number": 1, "max_timeout_ms": 10000,
"services": [{"id": "store", "floor": 0.5, "slots_per_worker": $slots,
 "connections_per_worker": 400, "minimum_share_standard": 0.2,
 "minimum_share_background": 0.1}],
"kinds": [
 {"id": "read", "service": "store", "idempotent": true, "rank": "urgent",
  "timeout_ms": 2000, "max_body_bytes": 65536},
 {"id": "write", "service": "store", "idempotent": false, "rank": "urgent",
  "timeout_ms": 2000, "max_body_bytes": 65536}],
"routes": [{"method": "GET", "path_prefix": "/read", "kind": "read"},
 {"method": "POST", "path_prefix": "/write", "kind": "write"}],
"patches": []},
"hosts/fleet": $(join_json "${fleet%$'\n'}"),
"hosts/store": $(join_json "${hosts%$'\n'}")}
END
}

# start_system DAEMONS WORKERS SERVICE_MS THREADS; sets daemon_pids and
# worker_pids.
start_system() {
    objects "$1" "$2" >"$folder/objects.json"
    start "$programs/platform_stand_in" --listen "$platform" \
        --load "$folder/objects.json"
    worker_pids=()
    for ((i = 1; i <= $2; ++i)); do
        start "$programs/worker_stand_in" --name "worker-$i" \
            --listen "127.0.0.1:$((worker_base + i))" \
            --behaviour "{\"slots\":$slots,\"queue\":64,\"service_ms\":$3}"
        worker_pids+=("$last_pid")
    done
    wait_for "http://$platform/v1/objects/configuration"
    daemon_pids=()
    for ((i = 1; i <= $1; ++i)); do
        settings_file "$i" "z$i" "r1" "$4"
        start "$programs/pollenwardd" --settings "$folder/daemon-$i.toml"
        daemon_pids+=("$last_pid")
    done
    for ((i = 1; i <= $1; ++i)); do
        wait_for "http://127.0.0.1:$((operator_base + i))/ready"
    done
}

load() { "$programs/load_client" "$@"; }
value() { awk -v name="$2" '$1 == name { print $2 }' <<<"$1"; }
answered() { awk '/^outcome 200/ { n += $NF } END { print n + 0 }' <<<"$1"; }
total() { awk '/^outcome/ { n += $NF } END { print n + 0 }' <<<"$1"; }

# latency KIND RATE OPTIONS...: measures requests sent directly to the worker,
# then through a daemon.
latency() {
    local kind=$1 rate=$2 straight through before after
    shift 2
    local common=(--rate "$rate" --connections 64 --seconds "$seconds" "$@")
    straight=$(load --to "127.0.0.1:$((worker_base + 1))" "${common[@]}")
    before=$(cpu_ms "${daemon_pids[0]}")
    through=$(load --to "127.0.0.1:$((caller_base + 1))" "${common[@]}")
    after=$(cpu_ms "${daemon_pids[0]}")
    local name
    for share in 50 99 99.9; do
        name=p${share}_ms
        local a b
        a=$(value "$straight" "$name") b=$(value "$through" "$name")
        name=p${share/./}
        row "$kind.${name}_straight_ms.rate$rate" "$a" ms
        row "$kind.${name}_through_ms.rate$rate" "$b" ms
        row "$kind.${name}_added_ms.rate$rate" "$(calc "$b - $a")" ms
    done
    row "$kind.answered.rate$rate" "$(answered "$through")" requests
    row "$kind.not_answered.rate$rate" \
        "$(calc "$(total "$through") - $(answered "$through")")" requests
    row "$kind.daemon_cpu_us_per_request.rate$rate" \
        "$(calc "($after - $before) * 1000 / $(total "$through")")" us
}

# Raises the rate until the daemon's thread is saturated or requests fail.
highest_rate() {
    local best=0 best_share=0 before after begin wall file
    for rate in 1000 2000 3000 4000 5000 6000 8000 10000 12000 14000; do
        before=$(cpu_ms "${daemon_pids[0]}") begin=$(now_ms)
        for client in 1 2; do
            load --to "127.0.0.1:$((caller_base + 1))" --rate $((rate / 2)) \
                --connections 64 --seconds 4 --target /read/1 \
                >"$folder/client-$client" &
            clients[client]=$!
        done
        wait "${clients[1]}" "${clients[2]}"
        after=$(cpu_ms "${daemon_pids[0]}") wall=$(($(now_ms) - begin))
        local both ok share
        both=$(cat "$folder/client-1" "$folder/client-2")
        ok=$(calc "$(answered "$both") * 1000 / $wall")
        share=$(calc "($after - $before) / $wall")
        row "request.threads1.answered_per_s.offered$rate" "$ok" requests/s
        row "request.threads1.core_share.offered$rate" "$share" cores
        if awk "BEGIN { exit !($ok > $best) }"; then
            best=$ok best_share=$share
        fi
        awk "BEGIN { exit !($share > 0.97 || $ok < 0.85 * $rate) }" && break
    done
    row request.threads1.highest_rate "$best" requests/s
    row request.threads1.highest_rate_core_share "$best_share" cores
}

# Each connection sends a request every 5 s, so that none is closed as idle.
connection_memory() {
    local pid=${daemon_pids[0]} points="" kb client
    load --to "127.0.0.1:$((caller_base + 1))" --rate 100 --connections 4 \
        --seconds 1 --target /read/1 >/dev/null
    for count in 0 500 1500; do
        client=""
        if [ "$count" -gt 0 ]; then
            load --to "127.0.0.1:$((caller_base + 1))" --rate $((count / 5)) \
                --connections "$count" --seconds 10 --target /read/1 \
                >"$folder/idle" &
            client=$!
            sleep 8
        fi
        kb=$(resident_kb "$pid")
        row "request.resident_kb.connections$count" "$kb" KB
        points+="$count $kb"$'\n'
        [ -z "$client" ] || wait "$client"
    done
    row request.resident_kb_per_connection "$(slope <<<"${points%$'\n'}")" KB
}

start_system 2 1 5 2
load --to "127.0.0.1:$((caller_base + 1))" --rate 500 --connections 64 \
    --seconds 3 --target /read/1 >/dev/null
for rate in 168 1680; do latency request "$rate" --target /read/1; done
for rate in 168 1680; do
    latency claimed "$rate" --target /write/1 --method POST --ids --body 200
done
stop_all

start_system 1 4 1 1
highest_rate
stop_all

start_system 1 1 5 2
connection_memory

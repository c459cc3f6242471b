#!/usr/bin/env bash
# Control path on real daemons: processor time, memory, messages and bytes per
# daemon for several fleet sizes, and the time until patches are in force.
source "$(dirname "$0")/common.sh"

sizes=(${POLLENWARD_BENCH_SIZES:-2 8 24 40})
idle_seconds=15
# Member records are still forwarded for a while after the start; with 40
# daemons they added 1 KB/s to the first 15 s.
settle_seconds=15
patches=20
zones=(r1a r1b r2a r2b r3a r3b)
services=(alpha beta gamma)

objects() {
    local fleet="" declared="" kinds="" routes="" lists="" worker=0 hosts
    for ((i = 1; i <= $1; ++i)); do
        fleet+="$(host_entry "daemon-$i" $((fleet_base + i)) \
            "${zones[i % 6]}")"$'\n'
    done
    for service in "${services[@]}"; do
        declared+="{\"id\":\"$service\",\"floor\":0.5,\"slots_per_worker\":6,"
        declared+="\"connections_per_worker\":400,"
        declared+="\"minimum_share_standard\":0.2,"
        declared+="\"minimum_share_background\":0.1}"$'\n'
        kinds+="{\"id\":\"read-$service\",\"service\":\"$service\","
        kinds+="\"idempotent\":true,\"rank\":\"urgent\",\"timeout_ms\":2000,"
        kinds+="\"max_body_bytes\":1024}"$'\n'
        routes+="{\"method\":\"GET\",\"path_prefix\":\"/$service\","
        routes+="\"kind\":\"read-$service\"}"$'\n'
        hosts=""
        for _ in 1 2; do
            worker=$((worker + 1))
            hosts+="$(host_entry "worker-$worker" $((worker_base + worker)) \
                "${zones[worker % 6]}")"$'\n'
        done
        lists+=", \"hosts/$service\": $(join_json "${hosts%$'\n'}")"
    done
    cat <<END
{"configuration": {"number": 1, "max_timeout_ms": 10000,
"services": $(join_json "${declared%$'\n'}"),
"kinds": $(join_json "${kinds%$'\n'}"),
"routes": $(join_json "${routes%$'\n'}"), "patches": []},
"hosts/fleet": $(join_json "${fleet%$'\n'}")$lists}
END
}

# metric_of_all NAME: prints the value on each daemon, one per line.
metric_of_all() {
    curl --silent "${metric_urls[@]}" |
        awk -v name="$1" '$1 == name { print $2 }'
}

# Waits until each daemon lists all daemons as live and all have the same
# version of the claim roster.
wait_for_fleet() {
    local size=$1 deadline=$(($(now_ms) + 60000)) ready
    while (($(now_ms) < deadline)); do
        ready=$(metric_of_all pollenward_members_live | grep -cx "$size" || :)
        if ((ready == size)) && (($(metric_of_all \
            pollenward_claim_roster_version | sort -u | wc -l) == 1)); then
            return
        fi
        sleep 0.5
    done
    echo "# a fleet of $size had not converged after 60 s"
}

start_fleet() {
    local size=$1
    objects "$size" >"$folder/objects.json"
    start "$programs/platform_stand_in" --listen "$platform" \
        --load "$folder/objects.json"
    for ((i = 1; i <= 2 * ${#services[@]}; ++i)); do
        start "$programs/worker_stand_in" --name "worker-$i" \
            --listen "127.0.0.1:$((worker_base + i))"
    done
    wait_for "http://$platform/v1/objects/configuration"
    pids=() metric_urls=()
    for ((i = 1; i <= size; ++i)); do
        settings_file "$i" "${zones[i % 6]}" "${zones[i % 6]:0:2}" 2
        start "$programs/pollenwardd" --settings "$folder/daemon-$i.toml"
        pids+=("$last_pid")
        metric_urls+=("http://127.0.0.1:$((operator_base + i))/metrics")
    done
    for url in "${metric_urls[@]}"; do wait_for "${url%metrics}ready"; done
    wait_for_fleet "$size"
}

# snapshot FILE: writes the sums of the counters over all daemons, and the time.
snapshot() {
    curl --silent "${metric_urls[@]}" | awk '
        /^pollenward_(fleet_(bytes|messages)|platform_calls)/ { sum[$1] += $2 }
        END { for (name in sum) print name, sum[name] }' >"$1"
    local cpu=0
    for pid in "${pids[@]}"; do cpu=$(calc "$cpu + $(cpu_ms "$pid")"); done
    { echo "cpu $cpu"; echo "time $(now_ms)"; } >>"$1"
}

# report_phase NAME SIZE: prints rows of the differences between the snapshots
# before and after.
report_phase() {
    awk -v phase="$1" -v size="$2" '
        NR == FNR { before[$1] = $2; next }
        { delta[$1] = $2 - before[$1] }
        END {
            s = delta["time"] / 1000
            printf "control.%s.cpu_percent.n%d %.4g %%core\n", phase, size,
                delta["cpu"] / delta["time"] * 100 / size
            for (name in delta) {
                if (name !~ /^pollenward/ || delta[name] == 0) continue
                split(name, part, /[{"}]/)
                kind = part[1]; sub(/^pollenward_/, "", kind)
                rate = delta[name] / s / size
                sum[kind] += rate
                unit = kind ~ /bytes/ ? "B/s" : "1/s"
                printf "control.%s.%s.%s.n%d %.4g %s\n", phase, kind, part[3],
                    size, rate, unit
            }
            for (kind in sum) {
                unit = kind ~ /bytes/ ? "B/s" : "1/s"
                printf "control.%s.%s.all.n%d %.4g %s\n", phase, kind, size,
                    sum[kind], unit
            }
        }' "$folder/before" "$folder/after" | sort
}

idle_phase() {
    snapshot "$folder/before"
    sleep "$idle_seconds"
    snapshot "$folder/after"
    report_phase idle "$1"
}

# Sends one request per second to each daemon; the daemons get the services in
# turn.
request_phase() {
    local clients=()
    # Evidence reports start with the first request.
    snapshot "$folder/before"
    for ((i = 1; i <= $1; ++i)); do
        "$programs/load_client" --to "127.0.0.1:$((caller_base + i))" \
            --rate 1 --connections 1 --seconds "$idle_seconds" \
            --target "/${services[i % 3]}/1" >>"$folder/outcomes" &
        clients+=("$!")
    done
    wait "${clients[@]}"
    snapshot "$folder/after"
    report_phase requests "$1"
}

memory_rows() {
    local sum=0 most=0 kb
    for pid in "${pids[@]}"; do
        kb=$(resident_kb "$pid")
        sum=$((sum + kb)) most=$((kb > most ? kb : most))
    done
    row "control.resident_kb.mean.n$1" "$(calc "$sum / $1")" KB
    row "control.resident_kb.max.n$1" "$most" KB
}

# Prints the time in ms from sending one patch until its version is in force on
# every daemon.
time_patch() {
    local version=$1 begin deadline waiting url
    begin=$(now_ms) deadline=$((begin + 15000))
    curl --silent --output "$folder/reply" --header "Patch-Id: bench-$version" \
        --header "Patch-Version: $version" --data \
        "{\"kinds\":{\"read-alpha\":{\"timeout_ms\":$((2000 + version))}}}" \
        "http://127.0.0.1:$((operator_base + 1))/patch"
    grep -q '"accepted"' "$folder/reply" || { cat "$folder/reply"; return 1; }
    waiting=("${metric_urls[@]/%metrics/status}")
    while ((${#waiting[@]} > 0)); do
        (($(now_ms) < deadline)) || return 1
        mapfile -t waiting < <(curl --silent --write-out ' %{url}\n' \
            "${waiting[@]}" | awk -v wanted=$((version + 1)) '
            { match($0, /"in_force":[0-9]+/)
              if (substr($0, RSTART + 11, RLENGTH - 11) < wanted) print $NF }')
    done
    echo $(($(now_ms) - begin))
}

patch_phase() {
    local times="" failed=0 ms
    for ((version = 1; version <= patches; ++version)); do
        if ms=$(time_patch "$version"); then
            times+="$ms"$'\n'
        else
            failed=$((failed + 1))
            echo "# patch $version with $1 daemons failed: $ms"
        fi
    done
    row "control.patch_in_force.failed.n$1" "$failed" patches
    sort -n <<<"${times%$'\n'}" | awk -v size="$1" '{ t[NR] = $1 } END {
        name = "control.patch_in_force"
        printf "%s.p50_ms.n%d %d ms\n", name, size, t[int((NR + 1) / 2)]
        printf "%s.max_ms.n%d %d ms\n", name, size, t[NR] }'
}

for size in "${sizes[@]}"; do
    start_fleet "$size"
    sleep "$settle_seconds"
    idle_phase "$size"
    request_phase "$size"
    memory_rows "$size"
    patch_phase "$size"
    stop_all
done | tee "$folder/rows"

# Slope of each figure per additional daemon, over all sizes.
for name in $(awk '/^control/ { sub(/\.n[0-9]+$/, "", $1); print $1 }' \
    "$folder/rows" | sort -u); do
    awk -v name="$name" '{ size = $1; sub(/.*\.n/, "", size)
        sub(/\.n[0-9]+$/, "", $1); if ($1 == name) print size, $2 }' \
        "$folder/rows" >"$folder/points"
    [ "$(wc -l <"$folder/points")" -ge 2 ] || continue
    unit=$(awk -v name="$name" \
        'index($1, name ".n") == 1 { print $3; exit }' "$folder/rows")
    row "$name.slope_per_daemon" "$(slope <"$folder/points")" "$unit"
done
awk '/^outcome/ { o = $2 " " $3; n[o] += $NF }
    END { for (o in n) printf "control.requests.outcome %d %s\n", n[o], o }' \
    "$folder/outcomes"

# Functions shared by the parts of bench/run. Must be sourced.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

programs=build/release
folder=$(mktemp -d)
started=()

# Kills the processes that this part started, by process id.
stop_all() {
    for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || :; done
    for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || :; done
    started=()
}
clean_up() {
    stop_all
    rm -r "$folder"
}
trap clean_up EXIT

# Starts a process in the background and sets last_pid to its process id.
start() {
    "$@" >>"$folder/log" 2>&1 &
    last_pid=$!
    started+=("$last_pid")
}

wait_for() {
    curl --silent --retry 200 --retry-delay 0 --retry-all-errors \
        --retry-max-time 20 --fail --output /dev/null "$1"
}

# row NAME VALUE UNIT
row() { echo "$1 $2 $3"; }

# Processor time of a process since its start, in ms.
cpu_ms() {
    awk -v per_s="$(getconf CLK_TCK)" \
        '{ sub(/.*\) /, ""); print ($12 + $13) * 1000 / per_s }' "/proc/$1/stat"
}

resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

now_ms() { date +%s%3N; }

calc() { awk "BEGIN { printf \"%.4g\", $1 }"; }

# Reads lines "x y"; prints the slope of the least-squares line.
slope() {
    awk '{ n++; x += $1; y += $2; xx += $1 * $1; xy += $1 * $2 }
        END { printf "%.4g", (n * xy - x * y) / (n * xx - x * x) }'
}

# settings_file NUMBER ZONE REGION THREADS: writes the settings of a daemon; its
# ports are base + number.
settings_file() {
    cat >"$folder/daemon-$1.toml" <<END
[daemon]
id = "daemon-$1"
zone = "$2"
region = "$3"
threads = $4

[listen]
callers = "127.0.0.1:$((caller_base + $1))"
operators = "127.0.0.1:$((operator_base + $1))"
fleet = "127.0.0.1:$((fleet_base + $1))"

[platform]
endpoint = "$platform"
END
}

# host_entry ID PORT ZONE: prints one entry of a host list.
host_entry() {
    echo "{\"id\":\"$1\",\"endpoint\":\"127.0.0.1:$2\",\"zone\":\"$3\"," \
        "\"state\":\"live\"}"
}

# join_json LINES: prints the lines as a JSON array.
join_json() { echo "[$(paste -sd, <<<"$1")]"; }

platform=127.0.0.1:21000
caller_base=21100
operator_base=21300
fleet_base=21500
worker_base=21700

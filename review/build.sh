#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -pthread -Wall -Wextra)
g++ "${flags[@]}" -c review/standins/kit.cpp -o target/review/kit.o &
pids=($!)
for folder in review/[1-9]; do
    [ -f "$folder/case.cpp" ] || continue
    name=$(basename "$folder")
    g++ "${flags[@]}" -c "$folder/case.cpp" -o "target/review/case-$name.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for folder in review/[1-9]; do
    [ -f "$folder/case.cpp" ] || continue
    name=$(basename "$folder")
    g++ -pthread "target/review/case-$name.o" target/review/kit.o \
        -o "target/review/case-$name"
done

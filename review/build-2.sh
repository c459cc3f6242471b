#!/usr/bin/env bash
# Builds the scripts of the second review, with their stand-ins, into
# target/review-2. The deploy file's build has to have run before.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -g1 -Wall -Wextra -Ireview/kit-2 -pthread)
g++ "${flags[@]}" -c review/kit-2/kit.cpp -o "$out/kit.o"
shopt -s nullglob
for source in review/[0-9]*/script.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/kit.o" -o "$out/case-$name"
done

#!/usr/bin/env bash
# Runs the script of a case: kit-2/run.sh FOLDER RECORD. See the case's claim.txt.
set -u
folder=$(cd "$1" && pwd)
record=$2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"$program" "$record" "$work"

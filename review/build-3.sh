#!/usr/bin/env bash
# Builds the cases of the third review with their stand-ins, into target/review-3. Usage: review/build-3.sh [N ...]
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-3
mkdir -p "$out"
numbers=("$@")
[ ${#numbers[@]} -gt 0 ] || numbers=(11 12 13 14 15)
for number in "${numbers[@]}"; do
    [ -e "review/$number/case.cpp" ] || continue
    g++ -std=c++20 -O1 -g -pthread -o "$out/case-$number" "review/$number/case.cpp" -lboost_json &
done
for job in $(jobs -p); do wait "$job"; done

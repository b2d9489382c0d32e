#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the compiler and the libraries of the deployed build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -Ireview "$source" -o "target/review-2/case-$number" -lboost_json
done

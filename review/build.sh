#!/usr/bin/env bash
# Builds the programs of the cases with their stand-ins, into target/review. They need a C++20 compiler and its library only.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/[1-5]/*.cpp review/descriptors.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done

#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, beside the program that the build
# command of the deploy file has put there.
#
# usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j"$(nproc)" --target catkinloft-standin
mkdir -p target/review
for it in review/*/main.cpp; do
    name=$(basename "$(dirname "$it")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread review/kit/Kit.cpp "$it" -o "target/review/case-$name"
done

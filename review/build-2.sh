#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the program that the deploy file builds: the
# project's own stand-ins, and a program for each case.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCATKINLOFT_STRICT=OFF
cmake --build target -j4 --target catkinloft catkinloft-standin
for it in review/*/case.cpp; do
    name=$(basename "$(dirname "$it")")
    ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread "$it" review/kit-2/Lab.cpp -o "target/review-$name"
done

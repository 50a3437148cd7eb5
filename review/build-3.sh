#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the third review into out/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I/usr/include/jsoncpp)
objects=()
pids=()
for source in review/stand_ins_3/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/1[1-5]/driver.cpp; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/driver-$(basename "$(dirname "$source")")" \
    -ljsoncpp -lfmt -pthread
done

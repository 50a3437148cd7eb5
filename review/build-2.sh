#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2. Needs the packages of
# the deploy file only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I /usr/include/jsoncpp)
g++ "${flags[@]}" -c review/stand_ins_2/stand_in.cpp -o "$out/stand_in.o"
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/stand_in.o" -ljsoncpp -lpthread -o "$out/case-$number"
done

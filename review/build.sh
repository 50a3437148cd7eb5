#!/usr/bin/env bash
# Builds the stand-ins and the cases that review/N/run.sh start, into target/review/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
common=(review/stand_ins/net.cpp review/stand_ins/platform.cpp review/stand_ins/case_setup.cpp)
for source in review/stand_ins/case_*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = case_setup ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "${common[@]}" "$source"
done

#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review/. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
sources=(review/standin/platform.cpp review/standin/rules.cpp
  src/jaydrift/http/client.cpp src/jaydrift/http/connection.cpp
  src/jaydrift/http/server.cpp src/jaydrift/http/fields.cpp
  src/jaydrift/codec/json.cpp src/jaydrift/codec/base64.cpp
  src/jaydrift/core/hash.cpp
  src/jaydrift/core/network_address.cpp src/jaydrift/core/printable.cpp
  src/jaydrift/soak/key_value_store.cpp)
objects=()
for source in "${sources[@]}" review/standin/case_*.cpp; do
  object="$out/$(basename "${source%.cpp}").o"
  g++ -std=c++20 -O1 -Iinclude -Ireview/standin -c "$source" -o "$object" &
  case "$source" in
    review/standin/case_*) ;;
    *) objects+=("$object") ;;
  esac
done
wait
for source in review/standin/case_*.cpp; do
  name="$(basename "${source%.cpp}")"
  g++ "$out/$name.o" "${objects[@]}" -lpthread -o "$out/$name"
done

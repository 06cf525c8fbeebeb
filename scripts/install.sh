#!/usr/bin/env bash
# Installs the packages that the build and the checks need on Debian 12.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config ccache curl jq clang-format-14
  clang-tidy-14 libcapnp-dev capnproto libboost-dev
  libboost-program-options-dev liblog4cxx-dev libcpp-httplib-dev
  librapidcheck-dev libgtest-dev rapidjson-dev)
if dpkg-query -W "${packages[@]}" > /dev/null 2>&1; then
  exit 0
fi
run=()
[ "$(id -u)" = 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq \
  "${packages[@]}" > /dev/null

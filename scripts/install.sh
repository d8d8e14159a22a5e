#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks require and that are missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy libboost1.81-dev libboost-json1.81-dev
    libboost-url1.81-dev libzmq3-dev prometheus-cpp-dev libtomlplusplus-dev libpopt-dev liblog4cxx-dev catch2
    librapidcheck-dev libprotobuf-dev libxxhash-dev libssl-dev curl)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi

#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start; JDK 17 is all it needs.
set -euo pipefail
cd "$(dirname "$0")"
out=target/standins-3
rm -rf "$out"
mkdir -p "$out"
javac -encoding UTF-8 -d "$out" standins-3/src/review3/*.java

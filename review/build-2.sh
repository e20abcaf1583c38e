#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java

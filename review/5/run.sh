#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp review/target MovedKey "review/$(basename "$(dirname "$(realpath "$0")")")/record.txt"

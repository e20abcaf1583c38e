#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -f review/target/StaleRead.class ] || { echo "run review/build.sh first"; exit 2; }
exec java -Xmx256m -cp review/target StaleRead "$here/record.txt"

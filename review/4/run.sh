#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f target/main.js ] || { echo "not built: run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec node "$here/play"

#!/usr/bin/env bash
# Builds what the cases 4 to 6 start besides the service. Their stand-ins, all in review/lib-2, need no build: Node runs
# them as they are, with the libraries that the build of the deploy file has installed. This checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
[ -f ../target/main.js ] || { echo 'build the service first, with the command of deploy/service.toml' >&2; exit 1; }
node --input-type=module -e "await import('$PWD/lib-2/deployment'); await import('$PWD/lib-2/cut')"

#!/usr/bin/env bash
# Builds the project's stand-ins that the cases use. Run it after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p tsconfig.test.json

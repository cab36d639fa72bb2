#!/usr/bin/env bash
# The stand-ins of the third review's scripts are plain JavaScript modules: nothing has to be built. This checks that
# they can be read, and that the build of the deploy file has put the program where the scripts start it.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-3/*.mjs review/{9,10,11,12,13}/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
[ -e target/platform/main.js ] || { echo "target/platform/main.js is missing: run the build line of deploy/system.toml first" >&2; exit 1; }

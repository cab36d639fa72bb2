#!/bin/sh
# The stand-ins of review/4 to review/8 are plain Node.js programs (review/standins-2) and need no build; this checks that
# they can be read, and that the build line of deploy/system.toml has been run.
set -e
cd "$(dirname "$0")/.."
test -f target/platform/main.js || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
for file in review/standins-2/*.mjs review/[4-8]/case.mjs; do
    node --check "$file"
done

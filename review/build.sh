#!/bin/sh
# The stand-ins are plain modules and need no build; this checks that each can be parsed.
cd "$(dirname "$0")" || exit 1
for file in standins/*.mjs [1-3]/run.mjs tried/*/*.mjs; do
    node --check "$file" || exit 1
done

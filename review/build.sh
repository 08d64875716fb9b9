#!/bin/sh
# The stand-ins of the scripts (review/lib) are plain JavaScript modules without dependencies: there is nothing to compile. Checks that
# Node.js can parse them. The router is built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done

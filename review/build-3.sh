#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain JavaScript modules (review/stand-ins-3), which Node.js runs as they are: nothing has to be built.
# None of the project's own stand-ins is used. The routers are those that the build line of the deploy file puts under target/.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-3/*.mjs 1[1-5]/*.mjs; do node --check "$module"; done

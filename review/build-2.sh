#!/bin/bash
# The scripts of cases 6 to 10 start the router of the deploy file and stand-ins in plain JavaScript, which need no build; this checks their syntax.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs {6,7,8,9,10}/case.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done

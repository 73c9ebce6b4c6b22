#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript that Node
# runs as it is, so this only checks that each of them can be parsed.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done

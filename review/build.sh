#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain programs for Node.js without
# dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done

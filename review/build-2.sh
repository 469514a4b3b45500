#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are plain JavaScript, so this only checks that each file can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done

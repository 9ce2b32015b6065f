#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript in lib/, so nothing has to be
# compiled. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do node --check "$file"; done

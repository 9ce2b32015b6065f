#!/bin/bash
# The stand-ins of the cases 6 to 10 are plain programs of Node.js in
# review/lib-2, review/lib-3 and in the folders of the cases: this checks that
# they compile.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs lib-3/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done

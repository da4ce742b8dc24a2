#!/bin/sh
# Prepares the stand-ins of the cases. They are plain modules for Node.js: nothing is compiled. They need the
# dependency `msgpackr` of the project, which the build of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
  node --check "$file"
done
node --input-type=module -e "import 'msgpackr'"
test -f target/app/main.js

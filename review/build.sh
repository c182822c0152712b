#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library alone: nothing is compiled, only
# their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

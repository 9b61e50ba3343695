#!/bin/sh
# The stand-ins use Python's standard library only; this checks that they compile.
set -e
cd "$(dirname "$0")"
for each in stand_ins.py */case.py more/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done

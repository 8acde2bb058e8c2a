#!/bin/sh
# The stand-ins are Python scripts that use only its standard library, so there is nothing to compile beyond a check.
cd "$(dirname "$0")" || exit 2
for script in standins/*.py [1-3]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script" || exit 1
done

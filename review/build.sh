#!/bin/sh
# The stand-ins are Python programs that need only its standard library (3.11 or later): nothing is compiled.
cd "$(dirname "$0")" && exec env PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib, sys
assert (3, 11) <= sys.version_info, "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
'

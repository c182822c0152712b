#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file's build. Their stand-ins are
# Python modules of the standard library alone, so nothing is compiled: this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
exec python3 - lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PYTHON'
import os
import sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
print("nothing to build; the stand-ins are Python")
PYTHON

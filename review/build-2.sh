#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside the daemon, which the build of the deploy file makes. All
# stand-ins are Python 3.11 without dependencies, so building them is compiling them.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
files = [*pathlib.Path("lib2").glob("*.py"), *(pathlib.Path(str(n)) / "case.py" for n in range(6, 11))]
for file in files:
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
print(len(files), "stand-ins compile")
PYTHON

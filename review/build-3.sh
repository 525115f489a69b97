#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. All are Python 3.11 with its standard library, so
# building them is compiling them; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
files = [pathlib.Path("lib3/fleet3.py"), *(pathlib.Path(f"{n}/case.py") for n in range(11, 16))]
for it in files:
    compile(it.read_text(encoding="utf-8"), str(it), "exec")
print(f"checked {len(files)} files")
PYTHON

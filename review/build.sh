#!/usr/bin/env bash
# Checks that the stand-ins compile. They are Python 3.11 with its standard library, so nothing is built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for it in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(it.read_text(encoding="utf-8"), str(it), "exec")
P

#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are written in Python, so that there is nothing to compile.
set -euo pipefail
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'

#!/bin/sh
# Prepares what the scripts in review/6 to review/10 start beside the daemon. Their stand-ins are Python 3.11 without
# dependencies, so they are only checked; the daemon comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
for file in review/lib2/*.py review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/packages/daemon/rosemarymilld || { echo "build the deploy file first" >&2; exit 2; }

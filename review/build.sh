#!/bin/sh
# Builds the cases' stand-ins. They are Python programs that use the standard library alone, so this only checks that each compiles.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "Python 3.9 or later is needed"; exit 1; }
for file in lib/rig.py ?/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done

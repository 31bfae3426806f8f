#!/bin/sh
# Checks what the scripts of review/6 to review/10 start: python3 with its standard library, the stand-ins, and the
# node that the deploy file builds. The stand-ins are Python and need no build of their own.
set -eu
cd "$(dirname "$0")/.."
test -x target/release/alderstile || { echo "target/release/alderstile is missing: run build of the deploy file" >&2; exit 1; }
for file in review/lib-2/stand_ins.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done

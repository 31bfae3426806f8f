#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 plays it without
# the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/bulrushd ] || { echo "build it first: see deploy/system.toml" >&2; exit 2; }
command -v python3 >/dev/null || { echo "python3 is needed" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac

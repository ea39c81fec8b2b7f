#!/usr/bin/env bash
# Runs the case on real processes: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the restarts.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bamboowind ] || exit 2
command -v python3 >/dev/null || exit 2
exec python3 review/2/run.py

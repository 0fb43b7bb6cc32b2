#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 118 python3 review/5/scenario.py

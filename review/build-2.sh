#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start: the programs of the deploy file. The
# stand-ins in bed/ are Python modules that use the same libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
sh -c "$build"
cd review
PYTHONPATH=../target/deps python3 -B -c 'import bed.advice, bed.runner, bed.system'

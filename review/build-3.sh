#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start: the programs of the deploy file. The
# stand-ins in lab/ are Python modules that use the same libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
sh -c "$build"
cd review
PYTHONPATH=../target/deps:. python3 -B -c 'import lab.bed, lab.platform, lab.runner, lab.traffic'

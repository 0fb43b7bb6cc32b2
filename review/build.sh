#!/usr/bin/env bash
# The stand-ins are Python modules that use aiohttp from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import review.standins.case"

#!/usr/bin/env bash
# Connections to a runner go silent for good in the middle of its answers; new ones work, and its health is good.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the fault.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review/standin ]; then bash review/build.sh || exit 2; fi
[ -x target/release/turnford ] || { echo "target/release/turnford is not built" >&2; exit 2; }
exec target/review/standin hanging-answers review/2

#!/usr/bin/env bash
# One answer too many, a refusal of an earlier request, arrives where the answer to the next one is due.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the fault.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review/standin ]; then bash review/build.sh || exit 2; fi
[ -x target/release/turnford ] || { echo "target/release/turnford is not built" >&2; exit 2; }
exec target/review/standin stray-refusals review/1

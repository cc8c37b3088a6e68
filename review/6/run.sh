#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the trouble out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x "$root/target/release/turnford" ]; then
	echo "not built" >&2
	exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$program" "$root" "$folder" "$temporary"
status=$?
if [ "$status" -gt 1 ]; then
	exit 2
fi
exit "$status"

#!/usr/bin/env bash
# Shows the claim beside this script. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case couldn't run.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/sesamestream-platform ] && [ -x target/review/rig4 ] || { echo "not built"; exit 2; }
exec target/review/rig4 advice "$here/record.txt"

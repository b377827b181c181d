#!/usr/bin/env bash
# Runs this case; needs the builds of deploy/system.toml and of review/build.sh. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-case ] && [ -x target/galenabridged ] || { echo "build first"; exit 2; }
exec target/review-case evacuate "$here/record.txt"

#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 without the disruption. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/turmericdale target/review/stand; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
export TROUBLE=${TROUBLE:-1}
exec target/review/stand order "$here"

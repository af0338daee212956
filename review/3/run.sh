#!/bin/sh
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the build command of deploy/balancer.toml, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] && [ -x "$root/bin/drain" ] && [ -x "$root/bin/sidecar" ] || exit 2
exec "$root/bin/drain" -root "$root" -run "$run" -record "$here/record.txt"

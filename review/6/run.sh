#!/bin/sh
# Plays the case; build first: deploy/system.toml's build line, then review/build-2.sh. TROUBLE=0 leaves the
# disruption out. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/release/elderpond && test -x target/review-2/standin-2 || exit 2
exec target/review-2/standin-2 limits review/6 "${TROUBLE:-1}"

#!/bin/sh
# Plays the case thaw; exits with 1 if LOST was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the partitions and the freeze.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cactusfork ] && [ -x target/review-2/standin-2 ] || exit 2
exec target/review-2/standin-2 thaw "$here"

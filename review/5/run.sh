#!/usr/bin/env bash
# Plays the case on the built programs; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/kumquatroad-entry ] && [ -x target/release/kumquatroad-control ] || exit 2
exec target/review/standin draining-forgotten review/5

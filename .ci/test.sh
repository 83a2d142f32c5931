#!/usr/bin/env sh
# Runs all tests with the race detector, passing over just those that KNOWN-RED.txt names. The tests of internal/overload measure the
# memory of processes, so that they run behind the others and alone.
set -eu
skip=""
if [ -f KNOWN-RED.txt ]; then
	skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's,/,$/^,g; s,^,^,; s,$,$,' | paste -sd '|' -)
fi
if [ -n "$skip" ]; then
	echo "known red, passed over:"
	sed -n 's/^test: */  /p' KNOWN-RED.txt
else
	skip='^$'
fi
# Assigned first, so that a failure to list the packages ends the script and does not test fewer of them.
packages=$(go list ./...)
go test -race -count=1 -timeout 20m -skip "$skip" $(printf '%s\n' "$packages" | grep -v /internal/overload)
# Without the race detector, under which the callers of the tests take several times the memory.
exec go test -count=1 -timeout 10m -skip "$skip" ./internal/overload

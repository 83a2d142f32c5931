#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs the Go tool chain alone, no module and no network.
set -eu
cd "$(dirname "$0")/.."
cp deploy/edge.ini.template review/standin-2/edge.ini.template
cd review/standin-2
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../../target/review-2/standin-2 .

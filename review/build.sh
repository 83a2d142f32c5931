#!/bin/sh
# Builds the stand-ins that the scripts start, into review/bin. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOFLAGS= GOWORK=off go build -o ../bin/standin .

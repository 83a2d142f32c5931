#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/. Run it behind the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/standin-3
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../../target/review-3/standin-3 .

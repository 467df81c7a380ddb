#!/bin/sh
# Builds the stand-in that the scripts of the review start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin review/standin/main.go review/standin/world.go review/standin/db.go review/standin/front.go

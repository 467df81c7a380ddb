#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it in the repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 review/standin-2/*.go
go build -o target/review-standin-3 review/standin-3/*.go

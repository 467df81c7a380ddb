#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/standin-3 review/standin-3/*.go

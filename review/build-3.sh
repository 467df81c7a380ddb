#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/standin-4 review/standin-4/*.go

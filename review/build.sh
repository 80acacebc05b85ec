#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need the standard library alone.
cd "$(dirname "$0")/standin" || exit 2
exec env CGO_ENABLED=0 GOWORK=off go build -o ../../target/review/ .

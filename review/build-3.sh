#!/bin/sh
# Builds the stand-ins of the third review's scripts, into target/. They need no network: the standard
# library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/standin-3 ./review/standin-3

#!/bin/sh
# Builds the stand-ins of the third review's scripts, into target/. They need no network: the standard
# library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
out=$(pwd)/target/standin-3
cd review/standin-3
go build -trimpath -o "$out" .

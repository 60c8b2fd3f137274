#!/bin/sh
# Builds the stand-ins that the scripts of the second review (6 to 10) start, into bin/. It needs no network: the module
# uses the standard library alone. The project's own programs are built by the line build of the deploy file.
set -eu
cd "$(dirname "$0")/second"
mkdir -p ../../bin
go build -o ../../bin/ ./cmd/...

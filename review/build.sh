#!/usr/bin/env bash
# Builds the one program of the review's cases: their stand-ins, clients and judges. It uses the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/case ./case

#!/bin/sh
# Builds the stand-ins of cases 6 to 10, without a network: a module of its own that uses the
# standard library only. The project's own programs are built by the deploy file.
set -eu
cd "$(dirname "$0")/standin2"
mkdir -p bin
GOFLAGS= GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/case .

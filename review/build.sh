#!/bin/sh
# Builds the stand-ins and the scripts' programs, without a network: a module of its own
# that uses the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS= GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/ ./cases

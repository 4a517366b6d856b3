#!/bin/sh
# Builds the stand-ins of cases 6 to 10. It needs no network: they use only the standard
# library. The project's own programs are built by the deploy file.
set -eu
cd "$(dirname "$0")/standin2"
mkdir -p bin
CGO_ENABLED=0 go build -o bin/case .

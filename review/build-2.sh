#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand ./review/stand

#!/bin/sh
# Builds the stand-ins of the cases. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig

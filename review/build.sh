#!/bin/sh
# Builds the stand-ins that the cases start. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/stand"
CGO_ENABLED=0 go build -buildvcs=false -o ../bin/stand .

#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs Go alone and no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p bin
CGO_ENABLED=0 go build -o bin/lab .

#!/bin/sh
# Builds the stand-ins that the scripts start, a test program without any dependency.
set -e
cd "$(dirname "$0")/standins"
go test -c -o bin/standins .

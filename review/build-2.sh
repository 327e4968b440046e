#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, a test program without any
# dependency.
set -e
cd "$(dirname "$0")/standins-2"
go test -c -o bin/standins .

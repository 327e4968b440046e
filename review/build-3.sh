#!/bin/sh
# Builds the stand-ins of the third review's scripts, a test program, into target/review-3/. It needs no
# network: the module uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
root=$PWD
cd review/stand3
exec env GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go test -c -o "$root/target/review-3/stand3" .

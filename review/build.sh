#!/bin/sh
# Builds the stand-ins of the cases into target/review/.  It wants what the
# build of the deploy file wants.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
CFLAGS="-D_GNU_SOURCE -std=gnu11 -Wall -Wextra -Werror -O2 -pthread"
cc $CFLAGS review/standin/worker.c -o target/review/worker \
    -lmicrohttpd -lcurl -ljansson
cc $CFLAGS review/standin/caller.c -o target/review/caller

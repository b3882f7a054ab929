#!/bin/sh
# What the plays of the users' platform share: a folder, ports, settings and
# the end of all that was started.  Sourced, with BIN set.
DIR=$(mktemp -d)
# Below the ports that the kernel gives to outgoing connections.
PORT=$((20000 + $$ % 12000))
PIDS=

clean_up() {
    trap - EXIT INT TERM PIPE HUP
    for pid in $PIDS; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$DIR"
}
trap clean_up EXIT
trap 'exit 1' INT TERM PIPE HUP

# Each process has an address of its own on loopback: its name is its address.
settings() { # NAME IP KIND
    {
        printf '{"node-name":"%s","ip":"%s","zone":"zone-a","region":"r",' \
            "$1" "$2"
        if [ "$3" = control ]; then
            printf '"bind-addresses":{"control":"%s:%s"},' "$2" "$PORT"
            printf '"data-dir":"%s/%s.data",' "$DIR" "$1"
        else
            printf '"bind-addresses":{"front":"%s:%s","ready":"%s:%s"},' \
                "$2" "$PORT" "$2" "$((PORT + 1))"
            printf '"data-dir":null,'
        fi
        printf '"port-range":[%s,%s],' "$((PORT + 2))" "$((PORT + 9))"
        printf '"seeds":["127.0.1.1:%s","127.0.1.2:%s","127.0.1.3:%s"],' \
            "$PORT" "$PORT" "$PORT"
        printf '"bootstrap":true,"bounds":{"max-hold-ms":1000,"grace-s":6}}\n'
    } >"$DIR/$1.json"
    mkdir -p "$DIR/$1.data"
}

start() { # NAME PROGRAM
    BORAGEMOOR_NODE_FILE="$DIR/$1.json" "$BIN/$2" >"$DIR/$1.log" 2>&1 &
    PIDS="$PIDS $!"
    eval "pid_$1=$!"
}

control_list() {
    echo "127.0.1.1:$PORT,127.0.1.2:$PORT,127.0.1.3:$PORT"
}

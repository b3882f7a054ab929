# What the cases share: a small deployment on loopback, with the commands of
# the deploy file.  Sourced from the repository's root, with CASE set to the
# case's folder.
set -eu
DIR=
PORT=$((20000 + $$ % 12000)) # below the ports of outgoing connections
STANDIN=target/review
RECORD=$CASE/record.txt
PIDS=

# A script that ends without a verdict couldn't run, whatever its last command
# returned.
VERDICT=2
clean_up() {
    trap - EXIT INT TERM HUP
    for pid in $PIDS; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    [ -z "$DIR" ] || rm -rf "$DIR"
    exit "$VERDICT"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP

DIR=$(mktemp -d)
: >"$RECORD"

verdict() { # CODE TEXT
    VERDICT=$1
    shift
    note "$*"
    exit "$VERDICT"
}

now_ms() {
    date +%s%3N
}

note() { # TEXT
    echo "$(now_ms) test $*" >>"$RECORD"
}

# Each process has an address of its own on loopback.
settings() { # NAME IP ZONE CLASS
    {
        printf '{"node-name":"%s","role":"%s","machine-class":"%s",' \
            "$1" "$4" "$4"
        printf '"ip":"%s","zone":"%s","region":"sk-east",' "$2" "$3"
        printf '"zones":{"sk-east-a":"sk-east","sk-east-b":"sk-east",'
        printf '"sk-east-c":"sk-east"},'
        if [ "$4" = core ]; then
            printf '"serves":["control_plane"],"counts-as-loss":true,'
            printf '"bind-addresses":{"control":"%s:%s"},' "$2" "$PORT"
            printf '"data-dir":"%s/%s.data",' "$DIR" "$1"
            printf '"limits":{"cpu-share":0.5,"cores":1,"memory-mb":256,'
            printf '"max-fds":4096,"link-mbps":1000.0,"disk-mb":128},'
            mkdir -p "$DIR/$1.data"
        else
            printf '"serves":["frontend"],"counts-as-loss":false,'
            printf '"bind-addresses":{"front":"%s:%s","ready":"%s:%s"},' \
                "$2" "$PORT" "$2" "$((PORT + 1))"
            printf '"data-dir":null,'
            printf '"limits":{"cpu-share":0.25,"cores":1,"memory-mb":260,'
            printf '"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},'
        fi
        printf '"port-range":[%s,%s],' "$((PORT + 2))" "$((PORT + 17))"
        printf '"seeds":["127.0.1.1:%s","127.0.1.2:%s","127.0.1.3:%s"],' \
            "$PORT" "$PORT" "$PORT"
        printf '"bootstrap":true,"discovery":"registration","entry":"vip",'
        printf '"heartbeat-ms":1500,"orders":"call","config_mode":"highest",'
        printf '"fault-tolerance":{"machines":1,"zones":1,"regions":0},'
        printf '"bounds":{"seed-lag-s":3,"reuse-after-s":2,"contact-ms":3000,'
        printf '"ack-timeout-ms":4000,"catch-up-s":4,"drain-ms":2000,'
        printf '"grace-s":6,"loss-slack-ms":200,"config-apply-ms":2000,'
        printf '"rollback-slack-ms":250,"max-skew-ms":5000,"recovery-s":12,'
        printf '"max-hold-ms":1000,"stop-timeout-ms":50,"cancel_ms":3000,'
        printf '"visible_ms":3000,"early_ms":250,"finish_s":14,'
        printf '"status_s":120,"remote-factor":1.5,"lease-ms":3000,'
        printf '"thaw-slack-ms":300,"resend-ms":1300}}\n'
    } >"$DIR/$1.json"
}

# As the deploy file runs them: "run" of [roles.control] and [roles.broker].
start() { # NAME PROGRAM
    BORAGEMOOR_NODE_FILE="$DIR/$1.json" "target/$2" >"$DIR/$1.log" 2>&1 &
    PIDS="$PIDS $!"
    eval "pid_$1=$!"
    note "started $1 as $!"
}

CONTROLS=127.0.1.1:$PORT,127.0.1.2:$PORT,127.0.1.3:$PORT

start_control() {
    settings core1 127.0.1.1 sk-east-a core
    settings core2 127.0.1.2 sk-east-b core
    settings core3 127.0.1.3 sk-east-c core
    for i in 1 2 3; do
        start "core$i" bm-platform-control
    done
}

start_broker() { # NAME IP ZONE
    settings "$1" "$2" "$3" frontend
    start "$1" bm-platform-broker
}

# The worker's process; its id is $pid_NAME.
worker() { # NAME IP ZONE LABELS CPU [ROOM-CHECK]
    "$STANDIN/worker" "$1" "$2:$PORT" "$3" camp "$4" "$5" "$CONTROLS" \
        "$RECORD" "${6:-1}" 2>>"$DIR/standins.log" &
    PIDS="$PIDS $!"
    eval "pid_$1=$!"
}

# Sends the first configuration until it is acknowledged.
publish() { # BODY
    tries=0
    while [ "$tries" -lt 60 ]; do
        "$STANDIN/caller" operator "$(now_ms)" 0 0 \
            "127.0.1.$((tries % 3 + 1)):$PORT" control /v1/config/put 1000 \
            "$1" "$RECORD"
        if grep -q ' client operator answer 200' "$RECORD"; then
            return 0
        fi
        tries=$((tries + 1))
        sleep 0.2
    done
    verdict 2 "the configuration was not acknowledged"
}

CONFIG='{"version":1,"routes":[{"name":"r-1","host":"camp.example","path-prefix":"/plots/","route-type":"unsafe","timeout-ms":1500,"target-latency-ms":60,"priority":0,"service":"camp","max-attempts":4,"stretch":1.6}],"services":[{"name":"camp","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"admission-check":true,"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}'

# A client's process with one job; times are in milliseconds from now.
caller() { # NAME CONNECT-AT POST-AT IP ID TIMEOUT BODY
    "$STANDIN/caller" "$1" "$(now_ms)" "$2" "$3" "$4:$PORT" camp.example \
        "/plots/$5" "$6" "$7" "$RECORD" 2>>"$DIR/standins.log" &
    PIDS="$PIDS $!"
    CALLERS="${CALLERS:-} $!"
}

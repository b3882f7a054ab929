#!/bin/sh
# A worker comes back under its id as one of another kind, and is given a task
# that requires its former kind.  Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.  TROUBLE=0: no worker crashes.
cd "$(dirname "$0")/../.."
CASE=review/3
. review/standin/region.sh

CRASHES=60
WORKERS=8

start_control
start_broker f1 127.0.2.1 sk-east-a
start_broker f2 127.0.2.2 sk-east-b
start_broker f3 127.0.2.3 sk-east-c
i=0
while [ "$i" -lt "$WORKERS" ]; do
    i=$((i + 1))
    kind=a
    [ "$((i % 2))" -eq 0 ] && kind=b
    worker "w$i" "127.0.3.$i" sk-east-a "$kind,r-1" 32000
    eval "kind_$i=$kind"
done
publish "$CONFIG"
sleep 3

# Jobs of four tasks, half of them for workers of kind a only and half for kind
# b: more than there is room for, so that some wait all the time.  IDs begin
# with a or b, as the kind that is required.
send_jobs() { # KIND
    m=0
    while [ ! -e "$DIR/enough" ]; do
        "$STANDIN/caller" "$1$m" "$(now_ms)" 0 0 "127.0.2.1:$PORT" \
            camp.example "/plots/$(printf '%s%015x' "$1" "$m")" 1500 \
            '{"best-effort":true,"spec":"200 14000","steps":[{"count":4,"cpu":14000,"mem-mb":64,"estimated-ms":200,"requirements":"'"$1"'"}]}' \
            "$RECORD" 2>>"$DIR/standins.log" &
        m=$((m + 1))
        sleep 0.055
    done
    wait
}
send_jobs a &
PIDS="$PIDS $!"
SENDERS=$!
send_jobs b &
PIDS="$PIDS $!"
SENDERS="$SENDERS $!"
sleep 1

# One worker of eight after the other crashes, and is back at once or a little
# later, each time as one of the other kind.  It listens when it sends its
# first heartbeat, without delay.
n=0
while [ "$n" -lt "$CRASHES" ]; do
    if [ "${TROUBLE:-1}" = 0 ]; then
        sleep 0.7
        n=$((n + 1))
        continue
    fi
    i=$((n % WORKERS + 1))
    eval "pid=\$pid_w$i kind=\$kind_$i"
    if [ "$kind" = a ]; then kind=b; else kind=a; fi
    note "SIGKILL to w$i, which comes back as one of kind $kind"
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null || true
    sleep "0.$((10 + n * 37 % 40))"
    worker "w$i" "127.0.3.$i" sk-east-a "$kind,r-1" 32000
    eval "kind_$i=$kind"
    sleep 0.4
    n=$((n + 1))
done
: >"$DIR/enough"
wait $SENDERS || true

# The check: no task starts on a worker without the label that its step
# requires.
if ! grep -q ' start ' "$RECORD"; then
    verdict 2 "nothing was started"
fi
wrong=$(awk '$2 == "worker" && $8 == "start" {
        split($7, labels, ",")
        if (substr($9, 1, 1) != labels[1]) { n++ }
    }
    END { print n + 0 }' "$RECORD")
all=$(grep -c ' start ' "$RECORD")
if [ "$wrong" -gt 0 ]; then
    verdict 1 "ROUTE: $wrong of $all starts on a worker without the label"
fi
verdict 0 "held: $all starts, each on a worker with the label"

#!/usr/bin/env bash
# Starts the whole system on loopback, runs the three stories, prints one
# table and stops everything gracefully. It ends only what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
stop_all() {
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[$i]}" 2>/dev/null || true
	done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
start() { # NAME PROGRAM ARGUMENTS…
	local name=$1
	shift
	"bin/$1" "${@:2}" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	eval "pid_${name//-/_}=$!"
}
wait_for() { # FILE PATTERN
	for _ in $(seq 200); do
		if grep -q "$2" "$1" 2>/dev/null; then return; fi
		sleep 0.05
	done
	echo "demo: no '$2' in $(basename "$1"):" >&2
	tail -5 "$1" >&2
	exit 1
}
mapfile -t port < <(bin/standin ports 21)
at() { echo "127.0.0.1:${port[$1]}"; }
begun=$SECONDS

echo "demo: starting the platform's stand-ins"
start log standin log --listen "$(at 0)"
start weights standin weights --listen "$(at 1)"
start engine-1 standin engine --listen "$(at 2)" --weights "$(at 1)"
start engine-2 standin engine --listen "$(at 3)" --weights "$(at 1)"
start stock standin service --listen "$(at 4)"
start scorer standin scorer --listen "$(at 5)"
start hosts standin hosts --listen "$(at 6)" \
	--host "entry-1,entry,$(at 10),bkk-a" --host "entry-2,entry,$(at 11),bkk-b"
for s in log weights engine-1 engine-2 stock scorer hosts; do wait_for "$work/$s.log" listening; done

echo "demo: starting two entries and four sidecars"
start entry-1 entry --name entry-1 --zone bkk-a --listen "$(at 7)" --peer-listen "$(at 10)" --operator-listen "$(at 12)" --log "$(at 0)"
start entry-2 entry --name entry-2 --zone bkk-b --listen "$(at 8)" --peer-listen "$(at 11)" --operator-listen "$(at 13)" --log "$(at 0)"
start sidecar-1 sidecar --target engine-1 --service advice-models --kind model-engine --zone bkk-a --address "$(at 2)" --hosts "$(at 6)"
start sidecar-2 sidecar --target engine-2 --service advice-models --kind model-engine --zone bkk-b --address "$(at 3)" --hosts "$(at 6)"
start sidecar-3 sidecar --target stock-1 --service spares-app --kind plain --zone bkk-a --address "$(at 4)" --hosts "$(at 6)"
start sidecar-4 sidecar --target scorer-1 --service scorer --kind plain --zone bkk-c --address "$(at 5)" --hosts "$(at 6)"
for s in entry-1 entry-2 sidecar-1 sidecar-2 sidecar-3 sidecar-4; do wait_for "$work/$s.log" started; done

echo "demo: an operator publishes a configuration document"
key() { bin/ladderctl new-key "$1" >"$work/$2.key"; }
secret() { head -1 "$work/$1.key"; }
public() { tail -1 "$work/$1.key"; }
key operator operator
key owner owner
for t in franchisees trainer stranger; do key team $t; done
head -1 "$work/owner.key" >"$work/owner.private"
team() { echo "{\"name\":\"$1\",\"class\":\"$2\",\"key-hashes\":[\"$(public "$1")\"],\"requests-per-second\":1000,\"burst\":1000,\"in-flight-limit\":100}"; }
cat >"$work/document.json" <<EOF
{"schema":"lycheeladder-document-1","document-id":"$(cat /proc/sys/kernel/random/uuid 2>/dev/null || date +%s%N)","base-revision":0,"author":"night-shift",
"operators":[{"name":"night-shift","key-hash":"$(public operator)"}],
"owners":[{"name":"prakai","public-key":"$(public owner)"}],
"models":[{"name":"advice","trainer":"trainer","scorer":"scorer","staleness-bound":2,"versions-in-play":2}],
"services":[
{"name":"advice-models","kind":"model-engine","owner":"prakai","model":"advice","fencing-checked":true,"slots":8,"queue-limit":64,"away-percent":50},
{"name":"spares-app","kind":"plain","owner":"prakai","idempotent-calls":["lookup"],"slots":16,"queue-limit":64},
{"name":"scorer","kind":"plain","owner":"prakai","idempotent-calls":["score"],"slots":16,"queue-limit":256}],
"teams":[$(team franchisees live),$(team trainer rollout),$(team stranger live)],
"grants":[],
"limits":{"max-body-bytes":65536,"max-timeout-seconds":60,"crash-quarantine-seconds":300}}
EOF
grant() {
	bin/ladderctl approve "$work/document.json" --team "$1" --service "$2" --key-file "$work/owner.private" >"$work/approved.json"
	mv "$work/approved.json" "$work/document.json"
}
grant franchisees advice-models
grant franchisees spares-app
grant trainer advice-models
grant trainer scorer
bin/ladderctl validate "$work/document.json"
bin/ladderctl publish "$work/document.json" --operator "$(at 12)" --key "$(secret operator)"
for s in entry-1 entry-2; do wait_for "$work/$s.log" '"configuration in force" revision=1'; done
for _ in $(seq 100); do
	bin/ladderctl status --operator "$(at 12)" --operator "$(at 13)" --key "$(secret operator)" >"$work/status.txt"
	if grep -q "lowest 1, highest 1" "$work/status.txt"; then break; fi
	sleep 0.1
done
head -1 "$work/status.txt"

memory() { awk '/VmRSS/ {printf "%.1f MB", $2/1024}' "/proc/$1/status" 2>/dev/null || echo "not known here"; }
idle_entry=$(memory "$pid_entry_1")
idle_sidecar=$(memory "$pid_sidecar_1")

echo "demo: live callers and a trainer at work, weights changing under them"
start trainer standin trainer --entry "$(at 7)" --entry "$(at 8)" --key "$(secret trainer)" --model advice --steps 4
start caller standin caller --entry "$(at 7)" --entry "$(at 8)" --key "$(secret franchisees)" --other-key "$(secret stranger)" \
	--engines advice-models --plain spares-app --seconds 6
wait "$pid_caller" || { cat "$work/caller.log" >&2; exit 1; }
wait "$pid_trainer" || { cat "$work/trainer.log" >&2; exit 1; }

bin/ladderctl status --operator "$(at 12)" --operator "$(at 13)" --key "$(secret operator)" >"$work/status.txt"
echo
bin/standin summary "live=$work/caller.out" "trainer=$work/trainer.out" && verdict=0 || verdict=1
echo
cat "$work/status.txt"
echo
echo "idle resident memory: entry $idle_entry, sidecar $idle_sidecar"
echo "after the load:       entry $(memory "$pid_entry_1"), sidecar $(memory "$pid_sidecar_1")"
echo "demo: stopping everything"
programs="entry-1 entry-2 sidecar-1 sidecar-2 sidecar-3 sidecar-4"
stop_all
for s in $programs; do
	grep -q "stopped" "$work/$s.log" || { echo "demo: $s did not stop gracefully" >&2; verdict=1; }
done
echo "demo: done in $((SECONDS - begun)) s, verdict $verdict"
exit $verdict

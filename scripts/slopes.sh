#!/usr/bin/env bash
# Usage: scripts/slopes.sh OUT [WINDOW]
# Measures the cost slopes of docs/CAPACITY.md and writes them to the JSON file OUT; WINDOW is the
# length of one measurement. It starts a small fleet on loopback (one voter, one relay, one entry
# host, three stand-in endpoints) on ports from BASE_PORT (default 21000) on and stops it at the
# end. Needs the programs of "make build" in bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1
window=${2:-10s}
bin=bin
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -rf "$work"
}
trap finish EXIT

secret=loopback-measurement-fleet
port=${BASE_PORT:-21000}
voter_peer=127.0.0.1:$((port + 0)); voter_admin=127.0.0.1:$((port + 1))
relay_peer=127.0.0.1:$((port + 2)); relay_admin=127.0.0.1:$((port + 3))
entry_peer=127.0.0.1:$((port + 4)); entry_admin=127.0.0.1:$((port + 5)); entry_callers=127.0.0.1:$((port + 6))

# Writes the settings file of a host; ROLE-JSON holds the settings of its role.
settings() { # HOST DOMAIN PEER-ADDR ADMIN-ADDR ROLE-JSON
  cat > "$work/$1.json" <<JSON
{"host":"$1","fleet":"measure","domain":"$2","fleet_secret":"$secret",
 "peer":{"listen":"$3"},"admin":{"listen":"$4"},$5,
 "controls":[{"host":"control-1","addr":"$voter_peer","voter":true},{"host":"relay-1","addr":"$relay_peer","voter":false}],
 "log":{"level":"warn"}}
JSON
}
settings control-1 osan "$voter_peer" "$voter_admin" "\"control\":{\"data_dir\":\"$work/control-1\",\"bootstrap\":true}"
settings relay-1 pohang "$relay_peer" "$relay_admin" "\"control\":{\"data_dir\":\"$work/relay-1\"}"
settings entry-1 osan "$entry_peer" "$entry_admin" "\"entry\":{\"listen\":\"$entry_callers\"}"
for host in control-1 relay-1 entry-1; do
  "$bin/galenabridge" serve --config "$work/$host.json" 2> "$work/$host.log" & pids+=($!)
done
for i in 1 2 3; do
  role=replica; upstream=(--upstream "127.0.0.1:$((port + 11))"); records=()
  if [ $i = 1 ]; then role=primary; upstream=(); records=(--records); fi
  "$bin/galenabridge" standin --service launchlog --id "launchlog-$i" --domain osan --listen "127.0.0.1:$((port + 10 + i))" \
    --role $role "${upstream[@]}" "${records[@]}" --announce "$voter_admin" --log-level warn 2> "$work/standin-$i.log" & pids+=($!)
done

key=$("$bin/galenabridge" key new --workspace crew)
password=$(sed -n 's/^key=//p' <<< "$key")
verifier=$(sed -n 's/^verifier=//p' <<< "$key")
cat > "$work/note.json" <<JSON
{"number":1,"added":{
 "workspaces":[{"name":"crew","rate":100000,"burst":100000,"class":"interactive"}],
 "keys":[{"id":"crew-1","workspace":"crew","verifier":"$verifier"}],
 "services":[{"name":"launchlog","endpoints":3,"slots":5,"connections":50,"database":"ledger","user":"galenabridge","password":""}],
 "domains":[{"name":"osan","region":"kr-central"},{"name":"pohang","region":"kr-central"}]}}
JSON
for _ in $(seq 1 100); do
  if "$bin/galenabridge" note apply --admin "http://$voter_admin" "$work/note.json" 2> "$work/apply.log"; then break; fi
  sleep 0.2
done
url="postgres://crew:$password@$entry_callers/launchlog?sslmode=disable"
for _ in $(seq 1 150); do
  if [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$entry_admin/healthz")" = 200 ]; then break; fi
  sleep 0.2
done
sleep 3
ulimit -n "$(ulimit -Hn)"
"$bin/bridgecap" measure --leader-admin "$voter_admin" --relay-host relay-1 --relay-peer "$relay_peer" \
  --relay-admin "$relay_admin" --entry-admin "$entry_admin" --caller-url "$url" \
  --standin "127.0.0.1:$((port + 12))" --fleet measure --fleet-secret "$secret" --window "$window" --out "$out" \
  || { tail -n 5 "$work"/*.log >&2; exit 1; }

#!/usr/bin/env bash
# Runs the utility's system as separate processes on loopback, drives it as an
# operator and as callers would, and stops every process by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o hawthornrock .
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
start() { ./hawthornrock "$@" 2>>"$work/log" & pids+=($!); }
export HAWTHORNROCK_TOKEN=operator-token HAWTHORNROCK_KEY=key-of-central-bakery
operators=127.0.0.1:8201
platform=127.0.0.1:9000

start standin log -listen "$platform"
sleep 0.5
port=9100
for domain in bayangol sukhbaatar khan-uul; do
  for n in 1 2 3 4 5 6 7 8 9 10; do
    port=$((port + 1))
    start standin engine -listen "127.0.0.1:$port" -platform "$platform" -name "$domain-a-$n" -failure_domain "$domain" -fabric_domain "$domain-a"
  done
  port=$((port + 1))
  start standin service -listen "127.0.0.1:$port" -platform "$platform" -name "$domain-ordering" -failure_domain "$domain" -deployment ordering
done
for n in 1 2 3; do start serve -settings "examples/utility/entry-$n.yaml"; done
entry=${pids[-1]}
sleep 1

echo "== the sheet: what it would change, then for good"
./hawthornrock publish -operators "$operators" -dry_run examples/utility/sheet.csv
./hawthornrock publish -operators "$operators" examples/utility/sheet.csv
for _ in $(seq 100); do
  ./hawthornrock status -operators "$operators" -json >"$work/status"
  [ "$(grep -c '"head"' "$work/status")" -ge 15 ] && break
  sleep 0.2
done
./hawthornrock status -operators "$operators"

echo "== a model and the plain service, through different entry instances"
curl -sS -H "Authorization: Bearer $HAWTHORNROCK_KEY" -H 'Content-Type: application/json' \
  -d '{"model":"decoration","max_tokens":8,"messages":[{"role":"user","content":"three tiers, white fondant"}]}' \
  http://127.0.0.1:8101/v1/chat/completions
order() {
  curl -sS -D - -o - -X POST -H "Authorization: Bearer $HAWTHORNROCK_KEY" -H 'Idempotency-Key: order-1' -H 'Stand-In-Call: order-1' \
    -d '{"item":"piping tips","count":12}' "http://$1/services/ordering/orders" | grep -i -e '^hawthornrock-outcome' -e '^{'
}
order 127.0.0.1:8102
echo "== the same order again, elsewhere: it does not run a second time"
order 127.0.0.1:8103

echo "== load, while a failure domain goes out and comes back"
./hawthornrock load -entries 127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103 -deployment decoration,recipes -rate 40 -duration 8s >"$work/load" &
load=$!
sleep 2
./hawthornrock domain out sukhbaatar -operators "$operators"
sleep 2
./hawthornrock domain in sukhbaatar -operators "$operators"
echo "== one daemon is killed under load"
kill -9 "$entry"
wait "$load"
cat "$work/load"
./hawthornrock doctor -settings examples/utility/entry-1.yaml || echo "the doctor sees that entry-3 is gone"
for n in 1 2; do
  violations=$(./hawthornrock status -operators "127.0.0.1:820$n" -json | sed -n 's/.*"violations": \([0-9]*\).*/\1/p')
  [ "$violations" = 0 ] || { echo "entry-$n counted $violations violations"; exit 1; }
done
[ "$(grep -c '"success_ratio": 1,' "$work/load")" = 2 ] || { echo "not every answer was whole"; exit 1; }
echo "all answers whole, no violations"

#!/usr/bin/env bash
# Measures what one entry daemon costs under load, as a process of its own:
# processor time a request and a token, and memory an open stream. Prints JSON.
# Usage: examples/cost.sh [RATE] [TOKENS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-100} tokens=${2:-80} seconds=${3:-10}
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
hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
export HAWTHORNROCK_TOKEN=operator-token HAWTHORNROCK_KEY=key
start standin log -listen 127.0.0.1:9700
sleep 0.5
for n in 1 2 3 4; do
  start standin engine -listen "127.0.0.1:970$n" -platform 127.0.0.1:9700 -name "a-$n" -failure_domain a -fabric_domain a -slots 512 -cold_limit 512 -warm_after 1 -token_interval 10ms
done
cat >"$work/entry.yaml" <<END
daemon: entry-1
failure_domain: a
listen: {callers: 127.0.0.1:9711, operators: 127.0.0.1:9712, peers: 127.0.0.1:9713}
platform: {address: 127.0.0.1:9700}
peers: {secret: s}
operators: [{name: planner, token_sha256: $(hash operator-token)}]
organisations: [{name: o, key_sha256: [$(hash key)]}]
limits: {in_flight_per_organisation: 1024}
log: {level: warn}
END
start serve -settings "$work/entry.yaml"
daemon=${pids[-1]}
sleep 1
printf 'deployment,kind,model,version,replicas,instances_per_replica,failure_domains,organisations,priority\nd,engine,m,1,4,1,a,o,urgent\n' >"$work/sheet.csv"
./hawthornrock publish -operators 127.0.0.1:9712 "$work/sheet.csv" >/dev/null
sleep 4
./hawthornrock load -entries 127.0.0.1:9711 -deployment d -rate 20 -duration 2s -tokens 4 >/dev/null
ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
memory() { awk '/VmRSS/{print $2}' "/proc/$daemon/status"; }
counter() { curl -s http://127.0.0.1:9712/debug/vars | sed -n 's/.*"tokens": *\([0-9]*\).*/\1/p'; }
idle_from=$(ticks); sleep 5; idle_to=$(ticks)
before_ticks=$(ticks) before_tokens=$(counter) before_memory=$(memory) began=$(date +%s.%N)
./hawthornrock load -entries 127.0.0.1:9711 -deployment d -rate "$rate" -duration "${seconds}s" -tokens "$tokens" >"$work/load" &
load=$!
sleep "$(awk "BEGIN{print $seconds * 0.7}")"
under_memory=$(memory) streams=$(curl -s http://127.0.0.1:9712/debug/vars | sed -n 's/.*"in_flight": *\([0-9]*\).*/\1/p')
wait "$load"
after_ticks=$(ticks) after_tokens=$(counter) ended=$(date +%s.%N)
requests=$(sed -n 's/.*"requests": \([0-9]*\).*/\1/p' "$work/load")
whole=$(sed -n 's/.*"whole_answers": \([0-9]*\).*/\1/p' "$work/load")
awk -v hz="$(getconf CLK_TCK)" -v it=$((idle_to - idle_from)) -v t=$((after_ticks - before_ticks)) -v k=$((after_tokens - before_tokens)) \
  -v r="$requests" -v w="$whole" -v m=$((under_memory - before_memory)) -v s="$streams" -v wall="$(awk "BEGIN{print $ended - $began}")" 'BEGIN {
  cpu = t / hz
  printf "{\"requests\": %d, \"whole_answers\": %d, \"tokens\": %d, \"wall_seconds\": %.1f, \"cpu_seconds\": %.2f,\n", r, w, k, wall, cpu
  printf " \"idle_share_of_a_core\": %.4f, \"tokens_per_core_second\": %.0f, \"requests_per_core_second\": %.0f,\n", it / hz / 5, k / cpu, r / cpu
  printf " \"open_streams\": %d, \"kilobytes_per_open_stream\": %.1f}\n", s, (s > 0) ? m / s : 0
}'

#!/usr/bin/env bash
# Measures the resources that an entry and a target daemon use as separate processes on the loopback interface: CPU time per
# request and per token, memory by number of client accounts, bytes on the control streams. Prints the figures from which
# docs/CAPACITY.md is written.
# Usage: scripts/capacity.sh [ACCOUNTS] (default 100)
set -euo pipefail
cd "$(dirname "$0")/.."
accounts=${1:-100}
dir=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap cleanup EXIT
key=operator
digest=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
bin/cowslipway keys --dir "$dir" n1 t1

bin/fakeplatform --listen 127.0.0.1:18501 --writes 0 --reads 0 & pids+=($!)
bin/fakeengine --listen 127.0.0.1:18502 --base 10ms --per-sequence 0s --per-prefill 0s --max-sequences 256 & pids+=($!)
process() {
	cat <<-JSON
	"name":"$1","place":"a","failure_domain":"a","log":{"level":"warn"},
	"tls":{"certificate":"$dir/$1.crt","key":"$dir/$1.key","authority":"$dir/authority.crt"},
	"platform":{"store":"http://127.0.0.1:18501","calls_per_second":200}
	JSON
}
cat > "$dir/t1.json" <<JSON
{$(process t1),"listen":"127.0.0.1:18503","debug_listen":"127.0.0.1:18504",
 "targets":[{"name":"t1-llm","service":"llm","address":"http://127.0.0.1:18502","start_slots":256}]}
JSON
cat > "$dir/n1.json" <<JSON
{$(process n1),"listen":"127.0.0.1:18505","targets":["127.0.0.1:18503"],"operator_keys_sha256":["$digest"]}
JSON
bin/cowslipway target --settings "$dir/t1.json" & target=$!; pids+=($target)
bin/cowslipway entry --settings "$dir/n1.json" & entry=$!; pids+=($entry)
mkdir "$dir/declaration"
{
	echo '{"services":[{"name":"llm","type":"model","places":["a"]}],"accounts":['
	for i in $(seq "$accounts"); do
		[ "$i" = 1 ] || echo ,
		echo "{\"name\":\"account-$i\",\"keys_sha256\":[\"$(printf %s "key-$i" | sha256sum | cut -d' ' -f1)\"],\"services\":[\"llm\"],\"weight\":1,\"requests_per_second\":100000,\"tokens_per_second\":100000000}"
	done
	echo ']}'
} > "$dir/declaration/all.json"
until curl -sf http://127.0.0.1:18505/healthz >/dev/null; do sleep 0.1; done
bin/cowslipway apply --server http://127.0.0.1:18505 --key "$key" "$dir/declaration" || echo "applying the declaration failed"
until curl -sf http://127.0.0.1:18505/readyz >/dev/null; do sleep 0.1; done

# CPU time in clock ticks of 10 ms, resident memory in KB, bytes on the control streams so far.
ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
memory() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }
control() { curl -s http://127.0.0.1:18504/debug/vars | grep -o '"control_bytes": [0-9]*' | grep -o '[0-9]*'; }
span() { # LABEL SECONDS [COMMAND...]: prints what both processes used while COMMAND ran, or in SECONDS without one
	local label=$1 seconds=$2; shift 2
	local e0 t0 c0 e1 t1 c1
	e0=$(ticks "$entry"); t0=$(ticks "$target"); c0=$(control)
	if [ $# -gt 0 ]; then "$@" > "$dir/report"; else sleep "$seconds"; fi
	e1=$(ticks "$entry"); t1=$(ticks "$target"); c1=$(control)
	echo "$label: entry $(( (e1-e0)*10 )) ms, target $(( (t1-t0)*10 )) ms of CPU time, control $(( (c1-c0)/seconds )) B/s, memory entry $(memory "$entry") KB, target $(memory "$target") KB"
	if [ $# -gt 0 ]; then head -1 "$dir/report"; fi
}
plan() { # FILE RATE TOKENS STREAM: writes a load plan to FILE
	cat > "$1" <<-JSON
	{"name":"capacity","seed":1,"warmup":"0s","duration":"10s","classes":[{"name":"online","servers":["http://127.0.0.1:18505"],"key":"key-1","model":"llm",
	 "rate":$2,"concurrency":0,"stream":$4,"prefixes":0,"prefix_bytes":0,"prompt_bytes":400,"max_tokens":$3,"vary":false,"timeout":"20s"}]}
	JSON
}
sleep 2
span "idle, $accounts accounts" 10
plan "$dir/small.json" 400 1 false
span "400 non-streaming responses of 1 token per second" 10 bin/load run --plan "$dir/small.json"
plan "$dir/tokens.json" 100 50 true
span "100 streams of 50 tokens per second" 10 bin/load run --plan "$dir/tokens.json"

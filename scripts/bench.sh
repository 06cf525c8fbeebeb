#!/usr/bin/env bash
# Prints measured figures as `name: value unit`.
#   bench.sh capacity   cost of each daemon at several numbers of workers
#   bench.sh platform   processor time of the scheduler's decisions
#   bench.sh ends       time until workers' lists of ends are empty after a
#                       silence of the store, on the virtual clock
#   bench.sh recovery   time from a fault until every shard is served again, on
#                       the virtual clock
set -uo pipefail
cd "$(dirname "$0")/.."
build="$PWD/${JAYDRIFT_BUILD_DIR:-build}"
. scripts/deployment.sh

# Prints totals of all daemons on one line: bytes read and written, CPU time in
# clock ticks and resident memory in KB. With 100 ticks a second, ticks a second
# are also percent of a core.
daemon_totals() {
  local name pid bytes=0 ticks=0 memory=0
  for name in "${daemons[@]}"; do
    pid="${pids[$name]}"
    bytes=$((bytes + $(awk '/^[rw]char/ {s += $2} END {print s}' \
      "/proc/$pid/io")))
    ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
  done
  echo "$bytes $ticks $memory"
}

# Prints how many writes and reads the store has counted.
store_calls() {
  curl -s "$store_http/stats" | jq '[.puts, .erases, .leaseGrants,
    .keepAlives | tonumber] as $w | [.reads, .watches, .vmLists | tonumber]
    as $r | "\($w | add) \($r | add)"' -r
}

# fit X1 Y1 X2 Y2 ...: fits a line by least squares; prints its slope, its
# intercept and the root mean square of the residuals.
fit() {
  awk 'BEGIN {
    for (i = 1; i < ARGC; i += 2) {
      x = ARGV[i]; y = ARGV[i + 1]; n++
      sx += x; sy += y; sxx += x * x; sxy += x * y; xs[n] = x; ys[n] = y }
    b = (n * sxy - sx * sy) / (n * sxx - sx * sx); a = (sy - b * sx) / n
    for (i = 1; i <= n; i++) { r = ys[i] - a - b * xs[i]; s += r * r }
    printf "slope %.4f intercept %.3f residual %.3f\n", b, a, sqrt(s / n)
    exit }' "$@"
}

capacity() {
  local size seconds=20 before after calls
  local bytes_points=() cpu_points=() memory_points=()
  for size in 3 6 12; do
    logs="$(mktemp -d)" workers_per_zone=$size
    set_deployment kallaloo
    start_platform
    for i in 0 1 2 3 4 5; do start_daemon "$i"; done
    sleep 10
    "$build/jaydriftctl" policy apply examples/kallaloo-policy.json \
      --based-on 0 --daemon "$(operator_of 0)" > /dev/null
    sleep 5
    read -r -a before <<< "$(daemon_totals) $(store_calls)"
    sleep "$seconds"
    read -r -a after <<< "$(daemon_totals) $(store_calls)"
    local n=$worker_count
    echo "workers: $n workers"
    echo "bytes_per_daemon_$n: $(((after[0] - before[0]) / 6 / seconds)) B/s"
    echo "cpu_per_daemon_$n: $(awk "BEGIN {print \
      (${after[1]} - ${before[1]}) / 6 / $seconds}") % of a core"
    echo "memory_per_daemon_$n: $((after[2] / 6)) KB"
    echo "store_writes_$n: $(awk "BEGIN {print \
      (${after[3]} - ${before[3]}) / $seconds}") calls/s"
    echo "store_reads_$n: $(awk "BEGIN {print \
      (${after[4]} - ${before[4]}) / $seconds}") calls/s"
    bytes_points+=("$n" $(((after[0] - before[0]) / 6 / seconds)))
    cpu_points+=("$n" "$(awk "BEGIN {print \
      (${after[1]} - ${before[1]}) / 6 / $seconds}")")
    memory_points+=("$n" $((after[2] / 6)))
    end_deployment
    rm -rf "$logs"
  done
  echo "bytes_fit: $(fit "${bytes_points[@]}") B/s against workers"
  echo "cpu_fit: $(fit "${cpu_points[@]}") % of a core against workers"
  echo "memory_fit: $(fit "${memory_points[@]}") KB against workers"
}

case "${1:-}" in
  capacity)
    trap end_deployment EXIT
    capacity ;;
  recovery) exec "$build/bench_recovery" ;;
  ends) exec "$build/bench_ends" ;;
  platform) exec "$build/bench_scheduler" ;;
  *)
    echo "usage: bench.sh capacity|ends|platform|recovery" >&2
    exit 2 ;;
esac

# Starts and ends the processes of a deployment on loopback. The demo and the
# benchmarks source it and set $build, the folder of the programs, and $logs, an
# existing folder. Each process is ended by its own process ID.

# Process IDs by the name of the process.
declare -A pids=()

# set_deployment NAME: sets the zones, sizes and addresses of the deployment.
set_deployment() {
  deployment="$1"
  case "$deployment" in
    formosa)
      zones="north-tw=taoyuan,hsinchu;south-tw=kaohsiung"
      places=(north-tw/taoyuan north-tw/hsinchu south-tw/kaohsiung)
      capacity=(--millicores 64000 --memory-mb 250000 --accelerators 2)
      urgent=triage batch=recalculation team=engineers port=21000
      batch_millicores=32000 batch_memory=100000 ;;
    kallaloo)
      zones="north=arima,chaguanas;south=san-fernando"
      places=(north/arima north/chaguanas south/san-fernando)
      capacity=(--millicores 16000 --memory-mb 60000)
      urgent=tally batch=menu_plan team=dietitians port=22000
      batch_millicores=8000 batch_memory=20000 ;;
  esac
  region="${places[0]%%/*}"
  store="127.0.0.1:$((port + 1))" store_http="127.0.0.1:$((port + 2))"
  daemons=() peers=""
  local i=0 place n
  for place in "${places[@]}"; do
    for n in 0 1; do
      daemons+=("${place#*/}-d$n")
      peers+="${peers:+,}${place#*/}-d$n=127.0.0.1:$((port + 100 + i))"
      peers+="=${place%%/*}=${place#*/}"
      i=$((i + 1))
    done
  done
}

# http_of DAEMON, operator_of DAEMON: print the address at which the daemon with
# this index listens.
http_of() { echo "127.0.0.1:$((port + 200 + $1))"; }
operator_of() { echo "127.0.0.1:$((port + 300 + $1))"; }

# run NAME PROGRAM FLAGS...: starts a process with its log in $logs.
run() {
  local name="$1" program="$2"
  shift 2
  "$build/$program" "$@" > "$logs/$name.out" 2> "$logs/$name.log" &
  pids[$name]=$!
}

# start_daemon DAEMON: starts the daemon with this index.
start_daemon() {
  local i="$1" place="${places[$(($1 / 2))]}"
  run "${daemons[$i]}" jaydriftd --name "${daemons[$i]}" \
    --region "${place%%/*}" --zone "${place#*/}" --zones "$zones" \
    --peers "$peers" --shards-per-region 2 --store "$store" \
    --listen-http "$(http_of "$i")" --listen-operator "$(operator_of "$i")" \
    --listen-peer "127.0.0.1:$((port + 100 + i))" --random-seed $((i + 1)) \
    --drain-ms 500
}

# Starts the store and, in each zone, $workers_per_zone workers (3 by default)
# with a backend server each. Sets worker_count.
start_platform() {
  run store jaydrift-store --listen "$store" --listen-http "$store_http"
  wait_for 20 curl -fs "$store_http/stats" -o /dev/null
  local i=0 place n name
  for place in "${places[@]}"; do
    for ((n = 0; n < ${workers_per_zone:-3}; ++n)); do
      name="${place#*/}-w$n"
      run "$name-backend" jaydrift-backend --name "$name-backend" \
        --listen-http "127.0.0.1:$((port + 400 + i))"
      run "$name" jaydrift-worker --name "$name" --region "${place%%/*}" \
        --zone "${place#*/}" --rack "${place#*/}-rack$((n / 8))" "${capacity[@]}" \
        --listen "127.0.0.1:$((port + 500 + i))" \
        --listen-http "127.0.0.1:$((port + 600 + i))" \
        --backend "127.0.0.1:$((port + 400 + i))" --vm-list "$store_http"
      i=$((i + 1))
    done
  done
  worker_count=$i
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" 2> /dev/null; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.2
  done
}

# end_process NAME [SIGNAL]: sends a process a signal, TERM by default, and
# waits until it has ended.
end_process() {
  local pid="${pids[$1]:-}"
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2> /dev/null || true
  wait "$pid" 2> /dev/null || true
  unset "pids[$1]"
}

end_deployment() {
  local name
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2> /dev/null || true
  done
  for name in "${!pids[@]}"; do
    end_process "$name" KILL
  done
}

#!/usr/bin/env bash
# Runs one series of docs/CAPACITY.md: each size as often as asked, one run after another.
# Usage: series.sh SERIES RUNS [SIZE...]; build target/topaz and target/topazhollow before.
set -u
cd "$(dirname "$0")/../.."
series=$1 runs=$2
shift 2
out=docs/capacity

# experiment SERIES SIZE prints the experiment's file.
experiment() {
	echo "duration_s = ${DURATION:-20}"
	echo "settle_s = ${SETTLE:-150}"
	case $1 in
	workers) echo "workers = $2; starts_per_s = 20; task_run_s = 5; tasks_per_worker = 0.2" ;;
	starts) echo "workers = ${WORKERS:-2000}; starts_per_s = $2; tasks_per_job = 50; task_run_s = 5; tasks_per_worker = 0.2; teams = 50; team_room = 50" ;;
	teams) echo "workers = 1000; teams = $2; starts_per_s = 50; task_run_s = 5; tasks_per_worker = 1" ;;
	controllers) echo "workers = ${WORKERS:-1000}; controllers = $2; starts_per_s = 20; task_run_s = 5; tasks_per_worker = 0.2; teams = 50" ;;
	tasks) echo "workers = 1000; tasks_per_worker = $2; starts_per_s = 20; task_run_s = 5; teams = 50" ;;
	per-worker) echo "workers = $2; starts_per_s = $(($2 * 59 / 100)); tasks_per_job = 50; task_run_s = 5; tasks_per_worker = 23; teams = 50; team_room = 50" ;;
	teams46) echo "workers = 1000; controllers = 46; teams = $2; starts_per_s = 20; task_run_s = 5; tasks_per_worker = 1" ;;
	whole) echo "workers = 15000; controllers = $2; teams = 50; starts_per_s = 200; tasks_per_job = 20; task_run_s = 5; tasks_per_worker = 4" ;;
	full) echo "workers = $2; teams = 50; starts_per_s = 200; tasks_per_job = 20; task_run_s = 5; tasks_per_worker = 26" ;;
	one-ends) echo "workers = $2; starts_per_s = 50; task_run_s = 5; tasks_per_worker = 1; teams = 50; [faults]; controller_ends_s = 5; back_after_s = 10" ;;
	all-end) echo "workers = $2; starts_per_s = 50; task_run_s = 5; tasks_per_worker = 1; teams = 50; [faults]; all_end_s = 5; back_after_s = 3" ;;
	esac | sed 's/; /\n/g'
	echo "[limits]"
	echo "processes = 80"
	echo "memory_mb = 11000"
	echo "seconds = ${SECONDS_MOST:-300}"
}

for size in "$@"; do
	for run in $(seq 1 "$runs"); do
		name="$series-$size-${TAG:-}$run"
		file=$(mktemp --suffix=.toml)
		experiment "$series" "$size" >"$file"
		echo "== $name"
		target/topaz rehearse scale --controller target/topazhollow --config "$file" --result "$out/$name.json" 2>"/tmp/scale-$name.log" || tail -3 "/tmp/scale-$name.log"
		rm -f "$file"
	done
done

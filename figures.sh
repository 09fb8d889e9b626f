#!/usr/bin/env bash
# Measures the figures of docs/keeper.md again: each group in one run, with the ratio to the baseline of the same run.
# Takes a few minutes. Only the ratios can be compared between machines.
set -eu
cd "$(dirname "$0")"
bench() { go test -run '^$' -bench "$2" -benchtime "$3" "$1" | grep '^Benchmark'; }
ratio() { # appends to each line the baseline's time divided by the line's own; $1 is a pattern of the baseline's name
  awk -v base="$1" '{ line[NR] = $0; t[NR] = $3; if ($1 ~ base) b = $3 } END { for (i = 1; i <= NR; i++) printf "%s  ratio %.2f\n", line[i], b / t[i] }'
}
echo "write-ahead log, compared with a plain file and an fsync per record"
bench ./internal/wal 'Append' 200000x | ratio 'fsync_each'
echo "artifact store replicas, compared with a plain file and an fsync per record"
bench ./internal/artifactreplication 'Append' 20000x | ratio 'fsync=true'
echo "reading a file, compared with a plain copy with sha256"
bench ./internal/artifactreplication 'Fetch' 3x | ratio 'plain_copy'
echo "startup with and without an index, by number of blobs"
bench ./internal/blob 'Open$' 1x
echo "refilling a lost replica of the artifact store; memory of open streams"
bench ./internal/artifactreplication 'Refill|OpenStreams' 1x

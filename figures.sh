#!/usr/bin/env bash
# Repeats the figures of docs/keeper.md: each group in one run, with its ratio to the
# baseline of the same run. A few minutes; only the ratios compare between machines.
set -eu
cd "$(dirname "$0")"
bench() { go test -run '^$' -bench "$2" -benchtime "$3" "$1" | grep '^Benchmark'; }
ratio() { # of a baseline's time to each line's
  awk -v base="$1" '{ line[NR] = $0; t[NR] = $3; if ($1 ~ base) b = $3 } END { for (i = 1; i <= NR; i++) printf "%s  ratio %.2f\n", line[i], b / t[i] }'
}
echo "log, beside a plain file with an fsync each"
bench ./internal/wal 'Append' 200000x | ratio 'fsync_each'
echo "keepers, beside the same"
bench ./internal/artifactreplication 'Append' 20000x | ratio 'fsync=true'
echo "reading a file, beside a plain copy with sha256"
bench ./internal/artifactreplication 'Fetch' 3x | ratio 'plain_copy'
echo "start with and without an index, by number of blobs"
bench ./internal/blob 'Open$' 1x
echo "refilling a lost keeper; memory of open streams"
bench ./internal/artifactreplication 'Refill|OpenStreams' 1x

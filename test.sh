#!/usr/bin/env bash
# The whole check: formatting, vet, staticcheck, dead code, the deploy file's build, tests.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then echo "not gofmt'ed: $unformatted" >&2; exit 1; fi
go vet ./...
go tool staticcheck ./...
# Functions that nothing reaches. Only tests use all of internal/simulation (stand-ins) and internal/goldentest.
unreached=$(go tool deadcode -test ./...; go tool deadcode ./... | grep -vE '^internal/(simulation|goldentest)/' || true)
if [ -n "$unreached" ]; then echo "not reached: $unreached" >&2; exit 1; fi
scripts/mutants --check
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
target/topazhollow --version
# The race detector makes the explored model of internal/leasegrant many times slower; its unit tests run under it.
model=topazhollow/internal/leasegrant
go test -race -count=1 -timeout 40m $(go list ./... | grep -v "^$model\$")
go test -race -count=1 -run TestDecide "$model"
go test -count=1 -timeout 20m "$model"

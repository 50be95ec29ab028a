# Entry points of the project; README.md explains each.
GO ?= go
GOLANGCI_VERSION = v2.15.0
GOLANGCI = $(shell $(GO) env GOPATH)/bin/golangci-lint

.PHONY: traces build test lint format spec tools demo measure bench

# Without the MessagePack codec, which gin brings and no page uses.
build:
	$(GO) build -tags nomsgpack -o bin/ ./cmd/...

test:
	GO=$(GO) script/test

tools:
	test -x $(GOLANGCI) || $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	command -v spin >/dev/null || (apt-get update && apt-get install -y spin)

lint: tools
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run

format: tools
	$(GOLANGCI) fmt

spec: tools
	if test -x spec/check; then spec/check; fi

# Records the traces that io/crtrace replays anew, after a meant change of a reducer.
traces:
	CAMPHORROAD_TRACES=$(CURDIR)/io/crtrace/testdata $(GO) test -count=1 ./e2e -ginkgo.focus "recorded trace"
	$(GO) test -count=1 ./io/crtrace -update

# On the users' platform, and with policy files that operators publish themselves.
demo: build
	script/demo-join
	script/demo

# The tables in virtual time repeat exactly; those over real processes vary by
# the machine, and take half an hour. MEASURE takes flags of camphorlab measure.
MEASURE ?= --seeds 2 --plots plots
measure: build
	$(GO) test ./core/crhealth -run '^TestMeasure$$' -count 1 -v -seeds 6
	$(GO) test ./core/craccount -run '^$$' -bench 'Compare|Burst' -benchtime 1x
	bin/camphorlab measure $(MEASURE)
	bin/camphorlab path

BENCHTIME ?= 200ms
bench:
	$(GO) test -run '^$$' -bench . -benchtime $(BENCHTIME) ./core/... ./io/...

# Targets for development; README.md explains each.
GO ?= go
GOLANGCI_VERSION = v2.15.0
GOLANGCI = $(shell $(GO) env GOPATH)/bin/golangci-lint

.PHONY: traces build test lint format spec tools demo measure bench

# nomsgpack leaves out the MessagePack codec of gin, which no page uses.
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

# Records again the traces that io/crtrace replays, after an intended change of a reducer.
traces:
	CAMPHORROAD_TRACES=$(CURDIR)/io/crtrace/testdata $(GO) test -count=1 ./e2e -ginkgo.focus "recorded trace"
	$(GO) test -count=1 ./io/crtrace -update

# Runs the demo on fakes of the users' platform, and the demo with policy files that
# operators publish themselves.
demo: build
	script/demo-join
	script/demo

# The tables in virtual time are equal in each run. Those of real processes vary with
# the machine, and take half an hour. MEASURE holds flags of camphorlab measure.
MEASURE ?= --seeds 2 --plots plots
measure: build
	$(GO) test ./core/crhealth -run '^TestMeasure$$' -count 1 -v -seeds 6
	$(GO) test ./core/craccount -run '^$$' -bench 'Compare|Burst' -benchtime 1x
	bin/camphorlab measure $(MEASURE)
	bin/camphorlab path

BENCHTIME ?= 200ms
bench:
	$(GO) test -run '^$$' -bench . -benchtime $(BENCHTIME) ./core/... ./io/...

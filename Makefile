# Build, test and demo of cassiatray. Needs Go, a C compiler and make.

BIN      := bin
PROGRAMS := cassiatray-entry cassiatray-steer cassiatrayctl cassiatray-standin cassiatray-load cassiatray-demo cassiatray-gateway
PROTO    := proto/peer/v1/peer.proto
SEED     := 20261204

export CGO_ENABLED := 1

.PHONY: all build demo up test soak crowd rig measure check generate explore clean

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

# demo runs both users' systems in small, shows a request's whole path and ends.
demo: build
	$(BIN)/cassiatray-demo

# up leaves the demo's systems running until interrupted.
up: build
	$(BIN)/cassiatray-demo --up

# KNOWN_RED are the tests that KNOWN-RED.txt names ("1. test: TestName").
KNOWN_RED := $(shell sed -n 's/^[0-9]*\. test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
SKIP_RED  := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# test is everything that CI runs, except the tests of faults that are known.
test: check build
	CASSIATRAY_BIN=$(CURDIR)/$(BIN) RAPID_SEED=$(SEED) go test -race -count=1 $(SKIP_RED) ./...
	RAPID_SEED=$(SEED) go test -count=1 $(SKIP_RED) ./internal/daemon/gateway

# explore runs the property tests longer and with new seeds.
explore: build
	CASSIATRAY_BIN=$(CURDIR)/$(BIN) RAPID_CHECKS=10000 go test -race -count=1 ./internal/core/...

# measure runs the measured scenarios: out/measure.json and out/measure.md.
measure: build
	$(BIN)/cassiatray-measure --out out/measure.json

# soak plays gateways under faults: make soak SOAK_SEED=7 SOAK_FOR=60. With SOAK_BUILD=<commit>
# half of them begin with that commit's build, and all are replaced one after the other.
SOAK_SEED ?= 1
SOAK_FOR  ?= 60
OLD_BUILD := $(if $(SOAK_BUILD),$(CURDIR)/out/build-$(SOAK_BUILD))
soak: build
	@if [ -n "$(SOAK_BUILD)" ]; then mkdir -p $(OLD_BUILD)/src && git archive $(SOAK_BUILD) | tar -x -C $(OLD_BUILD)/src && cd $(OLD_BUILD)/src && go build -o $(OLD_BUILD)/ ./cmd/cassiatray-gateway; fi
	SOAK_OLD=$(OLD_BUILD) CASSIATRAY_BIN=$(CURDIR)/$(BIN) SOAK_SEED=$(SOAK_SEED) SOAK_FOR=$(SOAK_FOR) go test -count=1 -v -run TestSoak ./platform/soak

# crowd plays crowds of clients at gateways and entry processes, one at a time: make crowd
# CROWD=TestCrowdThatReadsNoAnswers.
CROWD ?= Crowd
crowd: build
	CASSIATRAY_BIN=$(CURDIR)/$(BIN) go test -count=1 -v -p 1 -run '$(CROWD)' ./platform/soak ./internal/drill

# rig plays a whole deployment with servers, clients and checks by the platform's protocol:
# make rig RIG_SEED=7 RIG_FOR=60 RIG_SITE=/path/site.toml RIG_SHARE=0.5 RIG_DAY=... (a day of the
# site), RIG_TROUBLES=burst,garble (kinds of the site's, or a file), RIG_SQUEEZE=20 (percent of a
# core for each gateway), RIG_BIN and RIG_SETTINGS (folder and settings template of another
# build), RIG_LOGS (folder).
RIG_SEED ?= 1
RIG_FOR  ?= 60
rig: build
	CASSIATRAY_BIN=$(CURDIR)/$(BIN) RIG_SEED=$(RIG_SEED) RIG_FOR=$(RIG_FOR) go test -count=1 -v -timeout 30m -run 'TestRig$$' ./platform/soak

# check is formatting, vetting, linting and generated code.
check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	sha256sum --check --quiet proto/generated.sha256

# generate needs protoc; its output is committed.
generate:
	go build -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=cassiatray $(PROTO)
	sha256sum $(PROTO) $(PROTO:.proto=.pb.go) > proto/generated.sha256

clean:
	rm -rf $(BIN) out

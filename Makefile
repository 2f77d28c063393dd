# The module and its programs; each is a Go module of its own.
MODULES := . programs/bergamotctl programs/bergamotway programs/load programs/standin
PROGRAMS := bergamotctl bergamotway load standin
BIN := $(CURDIR)/.bin
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint-$(LINT_VERSION)
SEED ?= 1
# Without fused multiply-add, figures are the same on all machines.
export GOFLAGS := -buildvcs=false -gcflags=all=-d=fmahash=qn

.PHONY: all format build demo demo-platform soak soak-streams soak-teams soak-upgrade review-cases test test-all lint bench bench-path bench-routing bench-control clean

all: build

build:
	@for p in $(PROGRAMS); do (cd programs/$$p && go build -o $(BIN)/$$p .) || exit 1; done

demo: build
	$(BIN)/load demo --bin $(BIN)

demo-platform: build
	$(BIN)/load demo-platform --bin $(BIN)

# COUNT seeds from SEED on; the hosts' output goes to LOGS if it is set.
COUNT ?= 1
soak: build
	$(BIN)/load soak --bin $(BIN) --seed $(SEED) --count $(COUNT) $(if $(LOGS),--logs $(LOGS))

# Releases of the engines' software, cuts, standstills and take-ups in chains, judged for ORDER; ARGS adds flags of `load soak`.
STREAMS := --hosts 6 --engines 12 --desks 3 --clients 48 --length 25s
soak-streams: build
	$(BIN)/load soak --bin $(BIN) --seed $(SEED) --count $(COUNT) --all $(STREAMS) $(if $(LOGS),--logs $(LOGS)) $(ARGS)

# Teams become exclusive and shared again beside standstills, cuts, kills and starts, judged for foreign KV cache.
soak-teams: build
	$(BIN)/load soak --bin $(BIN) --seed $(SEED) --count $(COUNT) --all $(STREAMS) --teams 4 $(if $(LOGS),--logs $(LOGS)) $(ARGS)

# The same as soak-streams with hosts of the build OLD, which are replaced one after the other; ARGS=--mixed leaves half of them.
OLD ?= 524a858
soak-upgrade: build $(BIN)/bergamotway-$(OLD)
	$(BIN)/load soak --bin $(BIN) --seed $(SEED) --count $(COUNT) --all $(STREAMS) --old $(BIN)/bergamotway-$(OLD) $(if $(LOGS),--logs $(LOGS)) $(ARGS)

$(BIN)/bergamotway-%:
	@mkdir -p $(BIN)/src-$*
	git archive $* | tar -x -C $(BIN)/src-$*
	cd $(BIN)/src-$*/programs/bergamotway && go build -o $@ .
	@rm -rf $(BIN)/src-$*

# The cases of the independent review, on real processes; each says how often its rule was broken.
review-cases:
	mkdir -p target && cd programs/bergamotway && go build -ldflags=-linkmode=external -o ../../target/ .
	review/build.sh
	@failed=0; for n in 1 2 3 4 5; do review/$$n/run.sh || failed=1; done; exit $$failed

# Passes over the tests that KNOWN-RED.txt names, and prints its entries; test-all runs those as well.
test: build
	@echo "known red entries:"; grep -v '^#' KNOWN-RED.txt | grep . || echo none
	@skip=$$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | grep . | sed 's/.*/^&$$/' | paste -sd'|' -); \
	for m in $(MODULES); do (cd $$m && go test -race -timeout 280s $${skip:+-skip "$$skip"} ./...) || exit 1; done

test-all: build
	@for m in $(MODULES); do (cd $$m && go test -race -timeout 280s ./...) || exit 1; done

lint: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) run ./...) || exit 1; done

format: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt ./...) || exit 1; done

# The linter is built from the module proxy at a pinned version, which the checksum database covers.
$(LINT):
	@mkdir -p $(BIN)/lint
	GOWORK=off GOBIN=$(BIN)/lint go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@mv $(BIN)/lint/golangci-lint $(LINT)

bench: bench-path bench-routing bench-control

bench-path: build
	$(BIN)/load path --bin $(BIN)

bench-routing: build
	$(BIN)/load routing --seed $(SEED)

bench-control: build
	$(BIN)/load control

clean:
	rm -rf $(BIN)

PROGRAMS := filbertd filbertflow filbertctl flowlab standin/platform standin/upstream standin/caller

.PHONY: build
build: ## build every program into bin/
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/ ./$$p || exit 1; done

.PHONY: run
run: build ## start a whole system, drive it, check its promises and stop it
	@scripts/run

.PHONY: demo
demo: build ## start a whole system, keep it running and print how to drive it
	@scripts/run --keep

.PHONY: test
test: ## run all tests
	@scripts/test

.PHONY: lint
lint: tools ## check format and lint rules
	@scripts/lint

.PHONY: fmt
fmt: tools ## format all code
	@scripts/fmt

.PHONY: bench
bench: tools ## run the benchmarks
	@scripts/bench

.PHONY: generate
generate: tools ## generate the inner protocol's code; needs protoc
	@scripts/generate

.PHONY: tools
tools: ## build the developers' tools into bin/
	@scripts/tools

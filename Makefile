PROGRAMS := filbertd filbertflow filbertctl flowlab standin/platform standin/upstream standin/caller

.PHONY: build
build: ## build every program into bin/
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/ ./$$p || exit 1; done

.PHONY: run
run: build ## start a complete system, generate load, check its guarantees and stop it
	@scripts/run

.PHONY: demo
demo: build ## start a complete system, keep it running and print the commands to drive it
	@scripts/run --keep

.PHONY: test
test: ## run all tests
	@scripts/test

.PHONY: lint
lint: tools ## check the formatting and run the linters
	@scripts/lint

.PHONY: fmt
fmt: tools ## format all code
	@scripts/fmt

.PHONY: bench
bench: tools ## run the benchmarks
	@scripts/bench

.PHONY: generate
generate: tools ## generate the Go code of the internal protocol; requires protoc
	@scripts/generate

.PHONY: tools
tools: ## build the developer tools into bin/
	@scripts/tools

# `make` builds the commands, `make bad-day` runs the drill bad-day, `make test` runs the tests, `make test-beside-itself` runs
# them under load, `make proto` generates the protocol code (it needs protoc), and `make bench` measures a sentry against the
# bare relay.
.PHONY: build bad-day test test-beside-itself proto bench
build:
	mkdir -p bin && go build -o bin/ ./cmd/...
bad-day: build
	bin/scalechute drill drills/bad-day.hcl --out found/bad-day
# SKIP is a pattern of tests to skip; CI sets it from KNOWN-RED.txt. The drills in cmd/scalechute run after all other tests, so
# that they have the machine to themselves: a drill audits by the clock of one process, and a process that gets too little CPU
# time misses its deadlines.
test:
	go test -race -timeout 8m -count=1 $${SKIP:+"-skip=$$SKIP"} $$(go list ./... | grep -v /cmd/scalechute$$)
	go test -race -timeout 8m -count=1 $${SKIP:+"-skip=$$SKIP"} ./cmd/scalechute
# Runs each package's tests 24 times, 8 at once, and tables what fails. It takes long, so CI does not run it.
test-beside-itself:
	sh .ci/beside-itself
proto:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go generate ./internal/wire/pb
bench: build
	go run ./cmd/scalechute measure relay

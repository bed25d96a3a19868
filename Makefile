# `make` builds; `make bad-day` plays the scripted bad day; `make test` runs the tests; `make proto` needs protoc.
.PHONY: build bad-day test proto bench
build:
	mkdir -p bin && go build -o bin/ ./cmd/...
bad-day: build
	bin/scalechute drill drills/bad-day.hcl --out found/bad-day
# SKIP is a pattern of tests to be passed over; CI sets it from KNOWN-RED.txt. The drills have the machine to themselves: what they audit is told by one clock, and a starved process is late.
test:
	go test -race -timeout 8m -count=1 $${SKIP:+"-skip=$$SKIP"} $$(go list ./... | grep -v /cmd/scalechute$$)
	go test -race -timeout 8m -count=1 $${SKIP:+"-skip=$$SKIP"} ./cmd/scalechute
proto:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go generate ./internal/wire/pb
bench: build
	go run ./cmd/scalechute measure relay

.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

# PROXY_CONFIG names the configuration of a platform front end; without it the
# MySQL front alone is started, if deploy/mysql.json turns it on.
run: build
	exec bin/dewhill

// Dewhill is a front end for query engines.
package main

import (
	"fmt"
	"os"

	"dewhill/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "dewhill:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return fmt.Errorf("PROXY_CONFIG names no configuration")
	}
	cfg, err := node.ReadConfig(path)
	if err != nil {
		return err
	}
	return node.Run(cfg)
}

// Command dewhill is a front end for query engines.
//
//	dewhill [-mysql FILE] [-fleet FILE] [-group FILE]
//	dewhill import-haproxy FILE
//
// The first form serves the platform's clients if $PROXY_CONFIG names a
// configuration, MySQL clients if the file of -mysql enables them, or both. The second
// form prints a MySQL front end file made from an HAProxy configuration. The exit status
// is 0 after a graceful shutdown, and 1 after an error, which is printed in one line.
// The README has more.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"dewhill/internal/cluster"
	"dewhill/internal/haproxy"
	"dewhill/internal/server"
)

// importCommand is the first argument of the second form.
const importCommand = "import-haproxy"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "dewhill:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) > 0 && args[0] == importCommand {
		return importHAProxy(args[1:])
	}
	return serve(args)
}

func importHAProxy(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: dewhill import-haproxy FILE")
	}
	return haproxy.Run(args[0], os.Stdout, os.Stderr)
}

// serve runs the front ends until a signal shuts down the program.
func serve(args []string) error {
	signals := server.NotifySignals()
	flags := flag.NewFlagSet("dewhill", flag.ContinueOnError)
	mysqlPath := flags.String("mysql", "deploy/mysql.json",
		"file of the MySQL front end, which is off if the file does not exist")
	subsetPath := flags.String("fleet", "deploy/fleet.toml",
		"file of the engine subsets; defaults apply if the file does not exist")
	clusterPath := flags.String("group", "deploy/group.toml",
		"file of the cluster of front ends, which is off if the file does not exist")
	if err := flags.Parse(args); err != nil {
		return err
	}
	mysqlConfig, err := server.ReadMySQLConfig(*mysqlPath)
	if err != nil {
		return err
	}
	platformConfig, err := readPlatformConfig(*subsetPath, *clusterPath)
	if err != nil {
		return err
	}
	if platformConfig == nil && mysqlConfig == nil {
		return errors.New("nothing to serve: PROXY_CONFIG names no configuration, and the MySQL front is off")
	}
	return server.Run(platformConfig, mysqlConfig, signals)
}

// readPlatformConfig reads the configuration that $PROXY_CONFIG names, and the
// operators' files for it. It returns nil if $PROXY_CONFIG names no configuration.
func readPlatformConfig(subsetPath, clusterPath string) (*server.Config, error) {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return nil, nil
	}
	cfg, err := server.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if cfg.Subset, err = server.ReadSubsetOptions(subsetPath); err != nil {
		return nil, err
	}
	if cfg.Cluster, err = cluster.ReadOptions(clusterPath); err != nil {
		return nil, err
	}
	return cfg, nil
}

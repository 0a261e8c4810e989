// Command almondway is a database proxy and the operator's client of its administration API.
package main

import (
	"os"

	"almondway.dev/almondway/internal/app/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}

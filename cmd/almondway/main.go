// Command almondway runs the database proxy and the operator's client of its administration API.
package main

import (
	"os"

	"almondway.dev/almondway/internal/app/cmds"
	"almondway.dev/almondway/platform"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr, platform.NewCommand(cmds.Version())))
}

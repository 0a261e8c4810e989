// Command standin runs the stand-ins of the platform and of the backend servers.
package main

import (
	"os"

	"almondway.dev/almondway/internal/stand/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}

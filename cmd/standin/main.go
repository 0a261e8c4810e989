// Command standin runs stand-ins for the platform and the backend servers.
package main

import (
	"os"

	"almondway.dev/almondway/internal/stand/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}

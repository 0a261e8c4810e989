package serve

import (
	// Every kernel of the process has these plug-ins.
	_ "almondway.dev/almondway/internal/plug/deploy"
	_ "almondway.dev/almondway/internal/plug/failov"
	_ "almondway.dev/almondway/internal/plug/member"
)

package serve

import (
	// Every kernel of the process has these plug-ins.
	_ "almondway.dev/almondway/internal/plug/conns"
	_ "almondway.dev/almondway/internal/plug/deploy"
	_ "almondway.dev/almondway/internal/plug/failov"
	_ "almondway.dev/almondway/internal/plug/limit"
	_ "almondway.dev/almondway/internal/plug/member"
	_ "almondway.dev/almondway/internal/plug/probe"
	_ "almondway.dev/almondway/internal/plug/reads"
	_ "almondway.dev/almondway/internal/plug/sessn"
	_ "almondway.dev/almondway/internal/plug/writes"
)

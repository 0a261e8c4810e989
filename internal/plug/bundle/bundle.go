// Package bundle registers all plug-ins of the proxy. Import it for its side effects only.
package bundle

import (
	_ "almondway.dev/almondway/internal/plug/affirm" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/catlog" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/conns"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/deploy" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/drain"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/elect"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/eras"   // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/failov" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/fleet"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/holder" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/limit"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/member" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/mirror" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/probe"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/quota"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/reads"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/relay"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/sessn"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/spread" // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/tally"  // registers the plug-in
	_ "almondway.dev/almondway/internal/plug/writes" // registers the plug-in
)

package serve

import _ "almondway.dev/almondway/internal/plug/bundle" // registers the plug-ins

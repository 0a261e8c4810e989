package front

import "time"

const (
	defaultMaxCallers              = 4000
	defaultMaxMessageBytes         = 4 << 20
	defaultStartupTimeout          = 10 * time.Second
	defaultWriteTimeout            = 30 * time.Second
	defaultDisconnectCheckInterval = 250 * time.Millisecond
	defaultServerVersion           = "15.0 (almondway)"
)

// Spec lists the settings of a Server. A field with the zero value takes its
// default. TLS is enabled if CertFile and KeyFile are set.
type Spec struct {
	Address                 string
	CertFile                string
	KeyFile                 string
	MaxCallers              int
	MaxMessageBytes         int
	StartupTimeout          time.Duration
	WriteTimeout            time.Duration
	DisconnectCheckInterval time.Duration
	ServerVersion           string
}

func withDefaults(spec Spec) Spec {
	if spec.MaxCallers == 0 {
		spec.MaxCallers = defaultMaxCallers
	}
	if spec.MaxMessageBytes == 0 {
		spec.MaxMessageBytes = defaultMaxMessageBytes
	}
	if spec.StartupTimeout == 0 {
		spec.StartupTimeout = defaultStartupTimeout
	}
	if spec.WriteTimeout == 0 {
		spec.WriteTimeout = defaultWriteTimeout
	}
	if spec.DisconnectCheckInterval == 0 {
		spec.DisconnectCheckInterval = defaultDisconnectCheckInterval
	}
	if spec.ServerVersion == "" {
		spec.ServerVersion = defaultServerVersion
	}
	return spec
}

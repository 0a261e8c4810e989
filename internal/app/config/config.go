// Package config holds the settings of a proxy process. The settings come from
// flags and environment variables and are all validated before the proxy starts.
package config

import (
	"time"

	"almondway.dev/almondway/internal/core/tune"
)

// Defaults of the process settings. Package tune has those of the kernel settings.
const (
	defaultListen          = "127.0.0.1:6432"
	defaultPeerListen      = "127.0.0.1:6433"
	defaultAdminListen     = "127.0.0.1:6434"
	defaultPlatform        = "http://127.0.0.1:6500"
	defaultDataCenter      = "local"
	defaultMaxCallers      = 5000
	defaultMaxMessageBytes = 16 << 20
	defaultMaxAnswerBytes  = 64 << 20
	defaultStartupTimeout  = 10 * time.Second
	defaultLogLevel        = "info"
	defaultLogSample       = 1
)

// Spec lists the settings of a proxy process before validation.
type Spec struct {
	ID                 string
	DataCenter         string
	Listen             string
	PeerListen         string
	PeerAddress        string
	AdminListen        string
	Platform           string
	TLSCert            string
	TLSKey             string
	AdminTLSCert       string
	AdminTLSKey        string
	ReaderTokensFile   string
	OperatorTokensFile string
	MaxCallers         int
	MaxMessageBytes    int
	MaxAnswerBytes     int
	StartupTimeout     time.Duration
	LogLevel           string
	LogSample          int
	Kernel             tune.Spec
}

// Default returns the Spec with every setting at its default.
func Default() Spec {
	return Spec{
		DataCenter:      defaultDataCenter,
		Listen:          defaultListen,
		PeerListen:      defaultPeerListen,
		AdminListen:     defaultAdminListen,
		Platform:        defaultPlatform,
		MaxCallers:      defaultMaxCallers,
		MaxMessageBytes: defaultMaxMessageBytes,
		MaxAnswerBytes:  defaultMaxAnswerBytes,
		StartupTimeout:  defaultStartupTimeout,
		LogLevel:        defaultLogLevel,
		LogSample:       defaultLogSample,
		Kernel:          tune.Default(),
	}
}

// Config holds validated settings. It is immutable.
type Config struct {
	spec Spec
}

// New validates spec and returns its Config, or SettingErrors with every
// violation. An empty PeerAddress is set to PeerListen.
func New(spec Spec) (*Config, error) {
	if spec.PeerAddress == "" {
		spec.PeerAddress = spec.PeerListen
	}
	if violations := check(spec); len(violations) > 0 {
		return nil, violations
	}
	return &Config{spec: spec}, nil
}

// ID returns the name of the proxy, or the empty string to derive it from the host's name.
func (config *Config) ID() string { return config.spec.ID }

// DataCenter returns the data centre of the host.
func (config *Config) DataCenter() string { return config.spec.DataCenter }

// Listen returns the "ip:port" for callers.
func (config *Config) Listen() string { return config.spec.Listen }

// PeerListen returns the "ip:port" for messages of other proxies.
func (config *Config) PeerListen() string { return config.spec.PeerListen }

// PeerAddress returns the "ip:port" at which other proxies reach this one.
func (config *Config) PeerAddress() string { return config.spec.PeerAddress }

// AdminListen returns the "ip:port" of the administration API.
func (config *Config) AdminListen() string { return config.spec.AdminListen }

// Platform returns the base URL of the platform's service.
func (config *Config) Platform() string { return config.spec.Platform }

// TLSCert returns the certificate file for callers, or the empty string for no TLS.
func (config *Config) TLSCert() string { return config.spec.TLSCert }

// TLSKey returns the key file for callers.
func (config *Config) TLSKey() string { return config.spec.TLSKey }

// AdminTLSCert returns the certificate file of the administration API, or the empty string for no TLS.
func (config *Config) AdminTLSCert() string { return config.spec.AdminTLSCert }

// AdminTLSKey returns the key file of the administration API.
func (config *Config) AdminTLSKey() string { return config.spec.AdminTLSKey }

// ReaderTokensFile returns the file with the bearer tokens of readers, one per line.
func (config *Config) ReaderTokensFile() string { return config.spec.ReaderTokensFile }

// OperatorTokensFile returns the file with the bearer tokens of operators, one per line.
func (config *Config) OperatorTokensFile() string { return config.spec.OperatorTokensFile }

// MaxCallers returns the maximum number of connected callers.
func (config *Config) MaxCallers() int { return config.spec.MaxCallers }

// MaxMessageBytes returns the maximum size of a message from a caller.
func (config *Config) MaxMessageBytes() int { return config.spec.MaxMessageBytes }

// MaxAnswerBytes returns the maximum size of an answer to a caller.
func (config *Config) MaxAnswerBytes() int { return config.spec.MaxAnswerBytes }

// StartupTimeout returns the time limit for the start-up of a caller's connection.
func (config *Config) StartupTimeout() time.Duration { return config.spec.StartupTimeout }

// LogLevel returns the lowest level of the log lines that are written.
func (config *Config) LogLevel() string { return config.spec.LogLevel }

// LogSample returns n if the routing lines of one in n requests are written, or 0 if none are.
func (config *Config) LogSample() int { return config.spec.LogSample }

// Kernel returns the settings of the kernel and its plug-ins.
func (config *Config) Kernel() *tune.Settings { return tune.New(config.spec.Kernel) }

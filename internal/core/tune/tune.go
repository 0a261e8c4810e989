// Package tune holds the settings of the kernel and its plug-ins.
package tune

import "time"

// Spec lists the settings. Default returns a Spec with the named defaults.
type Spec struct {
	ProbeInterval     time.Duration
	ProbeSpacing      time.Duration
	ProbeTimeout      time.Duration
	SilenceLimit      time.Duration
	PromotionStagger  time.Duration
	OrderTimeout      time.Duration
	DefaultTimeout    time.Duration
	HeartbeatInterval time.Duration
	PeerLimit         time.Duration
	StorePollInterval time.Duration
	StoreTimeout      time.Duration
	ConfirmLimit      time.Duration
	HostPollInterval  time.Duration
	ConnsPerInstance  int
	SlotsPerInstance  int
	ConnIdle          time.Duration
	MaxWaiting        int
	DrainLimit        time.Duration
	LedgerRetention   time.Duration
	PeerSeeds         []string
}

const (
	defaultProbeInterval     = 50 * time.Millisecond
	defaultProbeSpacing      = 100 * time.Microsecond
	defaultProbeTimeout      = 800 * time.Millisecond
	defaultSilenceLimit      = 560 * time.Millisecond
	defaultPromotionStagger  = 60 * time.Millisecond
	defaultOrderTimeout      = time.Second
	defaultDefaultTimeout    = 5 * time.Second
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultPeerLimit         = 3 * time.Second
	defaultStorePollInterval = time.Second
	defaultStoreTimeout      = 2 * time.Second
	defaultConfirmLimit      = 5 * time.Second
	defaultHostPollInterval  = time.Second
	defaultConnsPerInstance  = 35
	defaultSlotsPerInstance  = 5
	defaultConnIdle          = 5 * time.Minute
	defaultMaxWaiting        = 2000
	defaultDrainLimit        = 30 * time.Second
	defaultLedgerRetention   = 24 * time.Hour
)

// Default returns the Spec with every setting at its default.
func Default() Spec {
	return Spec{
		ProbeInterval:     defaultProbeInterval,
		ProbeSpacing:      defaultProbeSpacing,
		ProbeTimeout:      defaultProbeTimeout,
		SilenceLimit:      defaultSilenceLimit,
		PromotionStagger:  defaultPromotionStagger,
		OrderTimeout:      defaultOrderTimeout,
		DefaultTimeout:    defaultDefaultTimeout,
		HeartbeatInterval: defaultHeartbeatInterval,
		PeerLimit:         defaultPeerLimit,
		StorePollInterval: defaultStorePollInterval,
		StoreTimeout:      defaultStoreTimeout,
		ConfirmLimit:      defaultConfirmLimit,
		HostPollInterval:  defaultHostPollInterval,
		ConnsPerInstance:  defaultConnsPerInstance,
		SlotsPerInstance:  defaultSlotsPerInstance,
		ConnIdle:          defaultConnIdle,
		MaxWaiting:        defaultMaxWaiting,
		DrainLimit:        defaultDrainLimit,
		LedgerRetention:   defaultLedgerRetention,
	}
}

// Settings holds the settings. It is immutable.
type Settings struct {
	spec Spec
}

// New returns the Settings that spec lists.
func New(spec Spec) *Settings { return &Settings{spec: spec} }

// ProbeInterval returns the time between status probes of an instance when nothing waits for them.
func (settings *Settings) ProbeInterval() time.Duration { return settings.spec.ProbeInterval }

// ProbeSpacing returns the least time between two probes of an instance.
func (settings *Settings) ProbeSpacing() time.Duration { return settings.spec.ProbeSpacing }

// ProbeTimeout returns the time after which a probe counts as failed.
func (settings *Settings) ProbeTimeout() time.Duration { return settings.spec.ProbeTimeout }

// SilenceLimit returns the silence of a primary after which it counts as lost.
func (settings *Settings) SilenceLimit() time.Duration { return settings.spec.SilenceLimit }

// PromotionStagger returns how long each further proxy waits before it promotes in place of the first.
func (settings *Settings) PromotionStagger() time.Duration { return settings.spec.PromotionStagger }

// OrderTimeout returns the time after which an order to an instance counts as failed.
func (settings *Settings) OrderTimeout() time.Duration { return settings.spec.OrderTimeout }

// DefaultTimeout returns the time after which a request gets its final answer, where neither kind nor request says.
func (settings *Settings) DefaultTimeout() time.Duration { return settings.spec.DefaultTimeout }

// HeartbeatInterval returns the time between messages to the other proxies.
func (settings *Settings) HeartbeatInterval() time.Duration { return settings.spec.HeartbeatInterval }

// PeerLimit returns the silence after which another proxy counts as gone.
func (settings *Settings) PeerLimit() time.Duration { return settings.spec.PeerLimit }

// StorePollInterval returns the least time between two polls of the store.
func (settings *Settings) StorePollInterval() time.Duration { return settings.spec.StorePollInterval }

// StoreTimeout returns the time after which a query to the store counts as failed.
func (settings *Settings) StoreTimeout() time.Duration { return settings.spec.StoreTimeout }

// ConfirmLimit returns how long a revision counts as current without being confirmed.
func (settings *Settings) ConfirmLimit() time.Duration { return settings.spec.ConfirmLimit }

// HostPollInterval returns the time between two polls of the host list.
func (settings *Settings) HostPollInterval() time.Duration { return settings.spec.HostPollInterval }

// ConnsPerInstance returns the connections that all proxies together may hold to an instance.
func (settings *Settings) ConnsPerInstance() int { return settings.spec.ConnsPerInstance }

// SlotsPerInstance returns the statements that an instance runs at once.
func (settings *Settings) SlotsPerInstance() int { return settings.spec.SlotsPerInstance }

// ConnIdle returns the time after which an unused backend connection is closed.
func (settings *Settings) ConnIdle() time.Duration { return settings.spec.ConnIdle }

// MaxWaiting returns the requests of one deployment that may wait in this proxy.
func (settings *Settings) MaxWaiting() int { return settings.spec.MaxWaiting }

// DrainLimit returns the time after which a draining proxy stops with requests in flight.
func (settings *Settings) DrainLimit() time.Duration { return settings.spec.DrainLimit }

// LedgerRetention returns how long the request ledger keeps its rows.
func (settings *Settings) LedgerRetention() time.Duration { return settings.spec.LedgerRetention }

// PeerSeeds returns the "ip:port" addresses of proxies that are greeted at start,
// for the case that the table of proxies cannot be read. Callers must not change it.
func (settings *Settings) PeerSeeds() []string { return settings.spec.PeerSeeds }

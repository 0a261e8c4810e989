// Package tune defines the settings of the kernel and its plug-ins, with their defaults.
package tune

import "time"

// Spec lists the settings. The methods of Settings describe each of them.
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
	FirstStart        bool
	ListWait          time.Duration
	SharedListWait    time.Duration
	MaxListAge        time.Duration
	EntryLifetime     time.Duration
	MaxKeyAge         time.Duration
	QuotaWindow       time.Duration
	QuotaOverage      float64
	QuotaSlack        float64
	ConnHolders       bool
	// EvenLoadProxies is described at Settings.EvenLoadProxies.
	EvenLoadProxies int
	PeerSeeds       []string
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
	defaultEntryLifetime     = 6 * time.Second
)

// Default returns a Spec with every setting at its default. PeerSeeds is empty.
func Default() Spec {
	return Spec{
		ProbeInterval:     defaultProbeInterval,
		EntryLifetime:     defaultEntryLifetime,
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

// Settings gives read access to the settings of a Spec. It is immutable.
type Settings struct {
	spec Spec
}

// New returns Settings with the values of spec. The PeerSeeds slice is not copied.
func New(spec Spec) *Settings { return &Settings{spec: spec} }

// ProbeInterval returns the interval between status probes of an instance while no
// operation waits for their result.
func (settings *Settings) ProbeInterval() time.Duration { return settings.spec.ProbeInterval }

// ProbeSpacing returns the minimum interval between two probes of an instance.
func (settings *Settings) ProbeSpacing() time.Duration { return settings.spec.ProbeSpacing }

// ProbeTimeout returns the time after which an unanswered probe counts as failed.
func (settings *Settings) ProbeTimeout() time.Duration { return settings.spec.ProbeTimeout }

// SilenceLimit returns the time without an answer from a primary after which it
// counts as lost.
func (settings *Settings) SilenceLimit() time.Duration { return settings.spec.SilenceLimit }

// PromotionStagger returns the additional time that each further proxy, in rank order,
// waits before it promotes in place of the first.
func (settings *Settings) PromotionStagger() time.Duration { return settings.spec.PromotionStagger }

// OrderTimeout returns the time after which an unanswered order to an instance counts
// as failed.
func (settings *Settings) OrderTimeout() time.Duration { return settings.spec.OrderTimeout }

// DefaultTimeout returns the time within which a request gets its final answer if
// neither the request nor its kind sets a timeout.
func (settings *Settings) DefaultTimeout() time.Duration { return settings.spec.DefaultTimeout }

// HeartbeatInterval returns the interval between heartbeat messages to the other proxies.
func (settings *Settings) HeartbeatInterval() time.Duration { return settings.spec.HeartbeatInterval }

// PeerLimit returns the time without a message from another proxy after which that
// proxy counts as gone.
func (settings *Settings) PeerLimit() time.Duration { return settings.spec.PeerLimit }

// StorePollInterval returns the minimum interval between two polls of the platform's store.
func (settings *Settings) StorePollInterval() time.Duration { return settings.spec.StorePollInterval }

// StoreTimeout returns the time after which an unanswered call to the platform's store
// counts as failed.
func (settings *Settings) StoreTimeout() time.Duration { return settings.spec.StoreTimeout }

// ConfirmLimit returns how long a revision counts as current after its last confirmation.
func (settings *Settings) ConfirmLimit() time.Duration { return settings.spec.ConfirmLimit }

// HostPollInterval returns the interval between two polls of the host list.
func (settings *Settings) HostPollInterval() time.Duration { return settings.spec.HostPollInterval }

// ConnsPerInstance returns the maximum number of connections to an instance, summed
// over all proxies.
func (settings *Settings) ConnsPerInstance() int { return settings.spec.ConnsPerInstance }

// SlotsPerInstance returns the number of statements that an instance runs concurrently.
func (settings *Settings) SlotsPerInstance() int { return settings.spec.SlotsPerInstance }

// ConnIdle returns the time after which an idle backend connection is closed.
func (settings *Settings) ConnIdle() time.Duration { return settings.spec.ConnIdle }

// MaxWaiting returns the maximum number of requests of one deployment that may wait in
// this proxy, for deployments that set no limit of their own.
func (settings *Settings) MaxWaiting() int { return settings.spec.MaxWaiting }

// DrainLimit returns the time after which a draining proxy ends the requests in flight with an answer,
// and stops.
func (settings *Settings) DrainLimit() time.Duration { return settings.spec.DrainLimit }

// LedgerRetention returns how long the request ledger keeps its rows.
func (settings *Settings) LedgerRetention() time.Duration { return settings.spec.LedgerRetention }

// PeerSeeds returns the "ip:port" addresses of proxies. Heartbeats are sent to them at
// start, until another proxy is known, in case the table of proxies cannot be read. The
// result must not be modified.
func (settings *Settings) PeerSeeds() []string { return settings.spec.PeerSeeds }

// FirstStart reports whether the whole system starts for the first time, so that no other
// proxy can have used the platform's store before.
func (settings *Settings) FirstStart() bool { return settings.spec.FirstStart }

// ListWait returns how long the platform's store holds a call open that waits for changes of a
// list. It is 0 if the proxy follows no lists.
func (settings *Settings) ListWait() time.Duration { return settings.spec.ListWait }

// SharedListWait replaces ListWait for a proxy that follows the lists for others, too. It is
// shorter, since each answer shows how fresh the copies of all of them are.
func (settings *Settings) SharedListWait() time.Duration { return settings.spec.SharedListWait }

// MaxListAge returns the time since a list was last known to be up to date after which a proxy
// that gets its changes from another one asks the platform's store itself.
func (settings *Settings) MaxListAge() time.Duration { return settings.spec.MaxListAge }

// EntryLifetime returns the time within which the platform removes the entry of an instance that no
// longer writes it.
func (settings *Settings) EntryLifetime() time.Duration { return settings.spec.EntryLifetime }

// MaxKeyAge returns the time since the configuration was last known to be current after which
// requests with a key are refused, since the key may have been withdrawn. It is 0 if withdrawn
// keys may be used for longer.
func (settings *Settings) MaxKeyAge() time.Duration { return settings.spec.MaxKeyAge }

// QuotaWindow returns the span in which the operations of a team are counted: its rate times the
// span and its burst, exceeded by QuotaOverage as a share and by QuotaSlack operations at most.
func (settings *Settings) QuotaWindow() time.Duration { return settings.spec.QuotaWindow }

// QuotaOverage returns the share by which a team may exceed its limit in a QuotaWindow.
func (settings *Settings) QuotaOverage() float64 { return settings.spec.QuotaOverage }

// QuotaSlack returns the operations by which a team may exceed its limit in a QuotaWindow, beyond
// QuotaOverage.
func (settings *Settings) QuotaSlack() float64 { return settings.spec.QuotaSlack }

// ConnHolders reports whether few proxies hold the connections of an instance for all others where
// there are more proxies than connections, each of which runs one team's statements.
func (settings *Settings) ConnHolders() bool { return settings.spec.ConnHolders }

// EvenLoadProxies returns the number of live proxies for each slot of an instance from which on
// they exchange load reports and choose the instances of reads by them, or 0 if they never do.
// It is 0 by default: docs/design/even_load.md has loads in which callers are served worse.
func (settings *Settings) EvenLoadProxies() int { return settings.spec.EvenLoadProxies }

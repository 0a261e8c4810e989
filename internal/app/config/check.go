package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/codes"
)

const leastLedgerRetention = 2 * time.Hour

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62})$`)
	logLevels   = []string{"error", "warn", "info", "debug"}
)

// Fault is a bad value of one setting.
type Fault struct {
	flag   string
	detail string
}

// Flag returns the setting's flag without dashes.
func (fault Fault) Flag() string { return fault.flag }

// String returns the flag, its environment variable and what is wrong.
func (fault Fault) String() string {
	return fmt.Sprintf("--%s (%s): %s", fault.flag, EnvName(fault.flag), fault.detail)
}

// SettingErrors is the error of settings with bad values.
type SettingErrors []Fault

// Error gives the result code and lists every fault, one a line.
func (settingErrors SettingErrors) Error() string {
	lines := make([]string, 0, len(settingErrors)+1)
	lines = append(lines, codes.SettingInvalid.String())
	for _, fault := range settingErrors {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

type checker struct {
	faults SettingErrors
}

func (checker *checker) fault(flag, format string, args ...any) {
	checker.faults = append(checker.faults, Fault{flag: flag, detail: fmt.Sprintf(format, args...)})
}

// check returns the faults that the values have alone and together.
func check(spec Spec) SettingErrors {
	checker := &checker{}
	checker.names(spec)
	checker.addresses(spec)
	checker.files(spec)
	checker.logs(spec)
	checker.times(spec)
	if spec.Kernel.ConnsPerInstance < spec.Kernel.SlotsPerInstance {
		checker.fault("conns-per-instance", "%d is below slots-per-instance, which is %d", spec.Kernel.ConnsPerInstance, spec.Kernel.SlotsPerInstance)
	}
	return checker.faults
}

func (checker *checker) names(spec Spec) {
	if spec.ID != "" && !namePattern.MatchString(spec.ID) {
		checker.fault("id", "%q does not match %s", spec.ID, namePattern)
	}
	if !namePattern.MatchString(spec.DataCenter) {
		checker.fault("data-center", "%q does not match %s", spec.DataCenter, namePattern)
	}
	checker.platform(spec.Platform)
}

// platform checks the URL, which is shown to operators and so must hold no secret.
func (checker *checker) platform(text string) {
	platform, err := url.Parse(text)
	switch {
	case strings.Contains(text, "@"):
		checker.fault("platform", "the URL must hold neither a user nor a password")
	case err != nil || platform.Host == "" || (platform.Scheme != "http" && platform.Scheme != "https"):
		checker.fault("platform", "%q is not an http or https URL", text)
	}
}

func (checker *checker) addresses(spec Spec) {
	checker.address("listen", spec.Listen)
	checker.address("peer-listen", spec.PeerListen)
	if peer, ok := checker.address("peer-address", spec.PeerAddress); ok && peer.Addr().IsUnspecified() {
		checker.fault("peer-address", "%s is no address at which other proxies reach this one", peer)
	}
	for _, seed := range spec.Kernel.PeerSeeds {
		checker.address("peer-seeds", seed)
	}
	admin, ok := checker.address("admin-listen", spec.AdminListen)
	if ok && !admin.Addr().IsLoopback() && spec.OperatorTokensFile == "" {
		checker.fault("operator-tokens-file", "needed because admin-listen %s is not a loopback address", admin)
	}
}

func (checker *checker) address(flag, text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		checker.fault(flag, "%q is not an ip:port", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (checker *checker) files(spec Spec) {
	if (spec.TLSCert == "") != (spec.TLSKey == "") {
		checker.fault("tls-cert", "tls-cert and tls-key are set together or not at all")
	}
	if (spec.AdminTLSCert == "") != (spec.AdminTLSKey == "") {
		checker.fault("admin-tls-cert", "admin-tls-cert and admin-tls-key are set together or not at all")
	}
}

func (checker *checker) logs(spec Spec) {
	if !slices.Contains(logLevels, spec.LogLevel) {
		checker.fault("log-level", "%q is none of %s", spec.LogLevel, strings.Join(logLevels, ", "))
	}
}

// times checks the limits that only work in a certain order.
func (checker *checker) times(spec Spec) {
	kernel := spec.Kernel
	checker.above("silence-limit", kernel.SilenceLimit, "probe-interval", kernel.ProbeInterval)
	checker.above("peer-limit", kernel.PeerLimit, "heartbeat-interval", kernel.HeartbeatInterval)
	checker.above("confirm-limit", kernel.ConfirmLimit, "store-poll-interval", kernel.StorePollInterval)
	if kernel.LedgerRetention < leastLedgerRetention {
		checker.fault("ledger-retention", "%s is below the least value %s", kernel.LedgerRetention, leastLedgerRetention)
	}
}

func (checker *checker) above(flag string, value time.Duration, otherFlag string, other time.Duration) {
	if value <= other {
		checker.fault(flag, "%s is not above %s, which is %s", value, otherFlag, other)
	}
}

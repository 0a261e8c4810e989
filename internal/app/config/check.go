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

const minLedgerRetention = 2 * time.Hour

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62})$`)
	logLevels   = []string{"error", "warn", "info", "debug"}
)

// Violation is a bad value of one setting.
type Violation struct {
	flag   string
	detail string
}

// Flag returns the setting's flag without dashes.
func (fault Violation) Flag() string { return fault.flag }

// String returns the flag, its environment variable and what is wrong.
func (fault Violation) String() string {
	return fmt.Sprintf("--%s (%s): %s", fault.flag, EnvName(fault.flag), fault.detail)
}

// SettingErrors is the error of settings with bad values.
type SettingErrors []Violation

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
	violations SettingErrors
}

func (checker *checker) addViolation(flag, format string, args ...any) {
	checker.violations = append(checker.violations, Violation{flag: flag, detail: fmt.Sprintf(format, args...)})
}

// check returns the faults that the values have alone and together.
func check(spec Spec) SettingErrors {
	checker := &checker{}
	checker.checkNames(spec)
	checker.checkAddresses(spec)
	checker.checkTLSFiles(spec)
	checker.checkLogLevel(spec)
	checker.checkDurations(spec)
	if spec.Kernel.ConnsPerInstance < spec.Kernel.SlotsPerInstance {
		checker.addViolation("conns-per-instance", "%d is below slots-per-instance, which is %d", spec.Kernel.ConnsPerInstance, spec.Kernel.SlotsPerInstance)
	}
	return checker.violations
}

func (checker *checker) checkNames(spec Spec) {
	if spec.ID != "" && !namePattern.MatchString(spec.ID) {
		checker.addViolation("id", "%q does not match %s", spec.ID, namePattern)
	}
	if !namePattern.MatchString(spec.DataCenter) {
		checker.addViolation("data-center", "%q does not match %s", spec.DataCenter, namePattern)
	}
	checker.checkPlatformURL(spec.Platform)
}

// checkPlatformURL checks the URL, which is shown to operators and so must hold no secret.
func (checker *checker) checkPlatformURL(text string) {
	platform, err := url.Parse(text)
	switch {
	case strings.Contains(text, "@"):
		checker.addViolation("platform", "the URL must hold neither a user nor a password")
	case err != nil || platform.Host == "" || (platform.Scheme != "http" && platform.Scheme != "https"):
		checker.addViolation("platform", "%q is not an http or https URL", text)
	}
}

func (checker *checker) checkAddresses(spec Spec) {
	checker.checkAddress("listen", spec.Listen)
	checker.checkAddress("peer-listen", spec.PeerListen)
	if peer, ok := checker.checkAddress("peer-address", spec.PeerAddress); ok && peer.Addr().IsUnspecified() {
		checker.addViolation("peer-address", "%s is no address at which other proxies reach this one", peer)
	}
	for _, seed := range spec.Kernel.PeerSeeds {
		checker.checkAddress("peer-seeds", seed)
	}
	admin, ok := checker.checkAddress("admin-listen", spec.AdminListen)
	if ok && !admin.Addr().IsLoopback() && spec.OperatorTokensFile == "" {
		checker.addViolation("operator-tokens-file", "needed because admin-listen %s is not a loopback address", admin)
	}
}

func (checker *checker) checkAddress(flag, text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		checker.addViolation(flag, "%q is not an ip:port", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (checker *checker) checkTLSFiles(spec Spec) {
	if (spec.TLSCert == "") != (spec.TLSKey == "") {
		checker.addViolation("tls-cert", "tls-cert and tls-key are set together or not at all")
	}
	if (spec.AdminTLSCert == "") != (spec.AdminTLSKey == "") {
		checker.addViolation("admin-tls-cert", "admin-tls-cert and admin-tls-key are set together or not at all")
	}
}

func (checker *checker) checkLogLevel(spec Spec) {
	if !slices.Contains(logLevels, spec.LogLevel) {
		checker.addViolation("log-level", "%q is none of %s", spec.LogLevel, strings.Join(logLevels, ", "))
	}
}

// checkDurations checks the limits that only work in a certain order.
func (checker *checker) checkDurations(spec Spec) {
	kernel := spec.Kernel
	checker.checkGreater("silence-limit", kernel.SilenceLimit, "probe-interval", kernel.ProbeInterval)
	checker.checkGreater("peer-limit", kernel.PeerLimit, "heartbeat-interval", kernel.HeartbeatInterval)
	checker.checkGreater("confirm-limit", kernel.ConfirmLimit, "store-poll-interval", kernel.StorePollInterval)
	if kernel.LedgerRetention < minLedgerRetention {
		checker.addViolation("ledger-retention", "%s is below the least value %s", kernel.LedgerRetention, minLedgerRetention)
	}
}

func (checker *checker) checkGreater(flag string, value time.Duration, otherFlag string, other time.Duration) {
	if value <= other {
		checker.addViolation(flag, "%s is not above %s, which is %s", value, otherFlag, other)
	}
}

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

// Violation describes an invalid value of one setting.
type Violation struct {
	flag   string
	detail string
}

// Flag returns the flag of the setting, without dashes.
func (violation Violation) Flag() string { return violation.flag }

// String returns the flag, its environment variable and the detail.
func (violation Violation) String() string {
	return fmt.Sprintf("--%s (%s): %s", violation.flag, EnvName(violation.flag), violation.detail)
}

// SettingErrors is the error for invalid settings. It lists every violation.
type SettingErrors []Violation

// Error returns the result code and every violation, one per line.
func (settingErrors SettingErrors) Error() string {
	lines := make([]string, 0, len(settingErrors)+1)
	lines = append(lines, codes.SettingInvalid.String())
	for _, violation := range settingErrors {
		lines = append(lines, "  "+violation.String())
	}
	return strings.Join(lines, "\n")
}

type checker struct {
	violations SettingErrors
}

func (checker *checker) addViolation(flag, format string, args ...any) {
	checker.violations = append(checker.violations, Violation{flag: flag, detail: fmt.Sprintf(format, args...)})
}

// check validates each value and the constraints between values.
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

// checkPlatformURL validates the URL of the platform. The URL must not contain a
// secret, since it is shown to operators.
func (checker *checker) checkPlatformURL(platformURL string) {
	platform, err := url.Parse(platformURL)
	switch {
	case strings.Contains(platformURL, "@"):
		checker.addViolation("platform", "the URL must not contain a user or a password")
	case err != nil || platform.Host == "" || (platform.Scheme != "http" && platform.Scheme != "https"):
		checker.addViolation("platform", "%q is not an http or https URL", platformURL)
	}
}

func (checker *checker) checkAddresses(spec Spec) {
	checker.checkAddress("listen", spec.Listen)
	checker.checkAddress("peer-listen", spec.PeerListen)
	if peer, ok := checker.checkAddress("peer-address", spec.PeerAddress); ok && peer.Addr().IsUnspecified() {
		checker.addViolation("peer-address", "other proxies cannot reach the unspecified address %s", peer)
	}
	for _, seed := range spec.Kernel.PeerSeeds {
		checker.checkAddress("peer-seeds", seed)
	}
	admin, ok := checker.checkAddress("admin-listen", spec.AdminListen)
	if ok && !admin.Addr().IsLoopback() && spec.OperatorTokensFile == "" {
		checker.addViolation("operator-tokens-file", "required because admin-listen %s is not a loopback address", admin)
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
		checker.addViolation("log-level", "%q is not one of %s", spec.LogLevel, strings.Join(logLevels, ", "))
	}
}

// checkDurations checks that each limit is greater than the interval it depends
// on, and the minimum of the ledger retention.
func (checker *checker) checkDurations(spec Spec) {
	kernel := spec.Kernel
	checker.checkGreater("silence-limit", kernel.SilenceLimit, "probe-interval", kernel.ProbeInterval)
	checker.checkGreater("peer-limit", kernel.PeerLimit, "heartbeat-interval", kernel.HeartbeatInterval)
	checker.checkGreater("confirm-limit", kernel.ConfirmLimit, "store-poll-interval", kernel.StorePollInterval)
	if kernel.LedgerRetention < minLedgerRetention {
		checker.addViolation("ledger-retention", "%s is below the minimum %s", kernel.LedgerRetention, minLedgerRetention)
	}
}

func (checker *checker) checkGreater(flag string, value time.Duration, otherFlag string, other time.Duration) {
	if value <= other {
		checker.addViolation(flag, "%s must be greater than %s, which is %s", value, otherFlag, other)
	}
}

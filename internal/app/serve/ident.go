package serve

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"os"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
)

const (
	suffixBytes = 4
	seedBytes   = 8
)

var notInName = regexp.MustCompile(`[^a-z0-9.-]+`)

// newProxyID returns the name of this process: the given name, or that of the
// host, and a random suffix, so that a restarted process has a new one.
func newProxyID(name string) (model.ProxyID, error) {
	if name == "" {
		host, err := os.Hostname()
		if err != nil {
			return "", errors.Wrap(err, "read host name")
		}
		name = strings.Trim(notInName.ReplaceAllString(strings.ToLower(host), "-"), "-")
	}
	suffix := make([]byte, suffixBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", errors.Wrap(err, "draw suffix of proxy id")
	}
	return model.ProxyID(name + "-" + hex.EncodeToString(suffix)), nil
}

// newSeed returns a seed for the kernel's random source.
func newSeed() (uint64, error) {
	seed := make([]byte, seedBytes)
	if _, err := rand.Read(seed); err != nil {
		return 0, errors.Wrap(err, "draw seed of kernel")
	}
	return binary.BigEndian.Uint64(seed), nil
}

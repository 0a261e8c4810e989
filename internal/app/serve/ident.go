package serve

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
)

const suffixBytes = 4

var invalidIDChars = regexp.MustCompile(`[^a-z0-9.-]+`)

// newProxyID returns the name of this process: the given name, or that of the
// host, and a random suffix, so that a restarted process has a new one.
func newProxyID(name string) (model.ProxyID, error) {
	if name == "" {
		host, err := os.Hostname()
		if err != nil {
			return "", errors.Wrap(err, "read host name")
		}
		name = strings.Trim(invalidIDChars.ReplaceAllString(strings.ToLower(host), "-"), "-")
	}
	suffix := make([]byte, suffixBytes)
	if _, err := rand.Read(suffix); err != nil {
		return "", errors.Wrap(err, "draw suffix of proxy id")
	}
	return model.ProxyID(name + "-" + hex.EncodeToString(suffix)), nil
}

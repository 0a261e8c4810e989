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

// newProxyID returns the identifier of this process: the given name, or the name of the
// host if it is empty, and a random suffix, so that a restarted process has a new
// identifier.
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
		return "", errors.Wrap(err, "generate suffix of proxy ID")
	}
	return model.ProxyID(name + "-" + hex.EncodeToString(suffix)), nil
}

package daemon

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/pkg/errors"
)

const seedBytes = 8

// NewSeed returns a random seed for a kernel's random source.
func NewSeed() (uint64, error) {
	seed := make([]byte, seedBytes)
	if _, err := rand.Read(seed); err != nil {
		return 0, errors.Wrap(err, "generate kernel seed")
	}
	return binary.BigEndian.Uint64(seed), nil
}

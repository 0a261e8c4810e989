// Package ident generates and parses request ids. They are version 7 UUIDs, which
// contain their time of creation in milliseconds.
package ident

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	version     = 7
	versionBits = version << 4
	variantBits = 0x80
	variantMask = 0x3f
	versionMask = 0x0f
	timeBytes   = 6
	timeShift   = 16
)

// New returns a request id with the given time of creation and random bits from random.
func New(at time.Time, random *rand.Rand) string {
	id := withTimestamp(at)
	var randomBytes [8]byte
	binary.BigEndian.PutUint64(randomBytes[:], random.Uint64())
	id[6] = versionBits | randomBytes[0]&versionMask
	id[7] = randomBytes[1]
	binary.BigEndian.PutUint64(id[8:], random.Uint64())
	id[8] = variantBits | id[8]&variantMask
	return id.String()
}

// LowerBound returns the lowest request id with the given time of creation.
func LowerBound(at time.Time) string {
	id := withTimestamp(at)
	id[6] = versionBits
	id[8] = variantBits
	return id.String()
}

// Parse returns the canonical form of a request id and its time of creation. It fails
// if text is not a version 7 UUID.
func Parse(text string) (string, time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return "", time.Time{}, errors.Wrapf(err, "parse request id %q", text)
	}
	if id.Version() != version || id.Variant() != uuid.RFC4122 {
		return "", time.Time{}, errors.Errorf("request id %q is not a version 7 UUID", text)
	}
	millis := binary.BigEndian.Uint64(id[:8]) >> timeShift
	return id.String(), time.UnixMilli(int64(millis)), nil
}

// withTimestamp returns a UUID that has only its timestamp bits set.
func withTimestamp(at time.Time) uuid.UUID {
	var id uuid.UUID
	var millis [8]byte
	binary.BigEndian.PutUint64(millis[:], uint64(at.UnixMilli())<<timeShift)
	copy(id[:timeBytes], millis[:timeBytes])
	return id
}

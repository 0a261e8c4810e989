package model

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes is the length of the keys that the platform's store accepts.
	maxNameBytes = 200
	maxCores     = 1 << 12
)

// Validate returns an error if the view cannot be that of a proxy.
func (proxyView ProxyView) Validate() error {
	if !IsName(string(proxyView.ID())) {
		return errors.Errorf("%.40q is not a name", proxyView.ID())
	}
	for _, text := range []string{string(proxyView.DataCenter()), proxyView.Address()} {
		if text != "" && !IsName(text) {
			return errors.Errorf("%.40q is neither a data centre nor an address", text)
		}
	}
	if !(proxyView.Cores() >= 0 && proxyView.Cores() <= maxCores) {
		return errors.Errorf("%g cores are not between 0 and %d", proxyView.Cores(), maxCores)
	}
	return nil
}

// IsName reports whether text is a single printable word. Names become fields of messages.
func IsName(text string) bool {
	unprintable := func(char rune) bool {
		return char == utf8.RuneError || unicode.IsSpace(char) || !unicode.IsPrint(char)
	}
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, unprintable)
}

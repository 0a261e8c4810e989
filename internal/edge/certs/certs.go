// Package certs loads TLS certificates from files and reloads them when the files are
// replaced.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = time.Second

// Reloader holds the certificate of a pair of files. It is safe for concurrent use.
type Reloader struct {
	certFile      string
	keyFile       string
	onReloadError func(err error)

	mutex       sync.Mutex
	current     *tls.Certificate
	loadedState fileState
	checkedAt   time.Time
}

// fileState is used to detect that a file was replaced.
type fileState struct {
	certModTime, keyModTime time.Time
	certSize, keySize       int64
}

// New loads the files and returns a Reloader. If a later reload fails, onReloadError is
// called and the last valid certificate stays in use.
func New(certFile, keyFile string, onReloadError func(err error)) (*Reloader, error) {
	reloader := &Reloader{certFile: certFile, keyFile: keyFile, onReloadError: onReloadError}
	if err := reloader.load(); err != nil {
		return nil, err
	}
	return reloader, nil
}

// Config returns a TLS configuration for servers. Each handshake uses the latest
// certificate; the configuration itself does not have to be replaced.
func (reloader *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return reloader.certificate(time.Now()), nil
		},
	}
}

func (reloader *Reloader) certificate(now time.Time) *tls.Certificate {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	if now.Sub(reloader.checkedAt) < checkInterval {
		return reloader.current
	}
	reloader.checkedAt = now
	if state, err := reloader.statFiles(); err == nil && state == reloader.loadedState {
		return reloader.current
	}
	if err := reloader.load(); err != nil {
		reloader.onReloadError(err)
	}
	return reloader.current
}

func (reloader *Reloader) load() error {
	state, err := reloader.statFiles()
	if err != nil {
		return err
	}
	loaded, err := tls.LoadX509KeyPair(reloader.certFile, reloader.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %q", reloader.certFile)
	}
	reloader.current = &loaded
	reloader.loadedState = state
	return nil
}

func (reloader *Reloader) statFiles() (fileState, error) {
	cert, err := os.Stat(reloader.certFile)
	if err != nil {
		return fileState{}, errors.Wrap(err, "check certificate file")
	}
	key, err := os.Stat(reloader.keyFile)
	if err != nil {
		return fileState{}, errors.Wrap(err, "check key file")
	}
	return fileState{certModTime: cert.ModTime(), keyModTime: key.ModTime(), certSize: cert.Size(), keySize: key.Size()}, nil
}

// Package certs serves TLS certificates from files that may be replaced while
// the process runs.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Reloader holds the certificate of a pair of files. It may be used by several goroutines.
type Reloader struct {
	certFile      string
	keyFile       string
	onReloadError func(err error)

	mutex       sync.Mutex
	current     *tls.Certificate
	loadedState fileState
	checkedAt   time.Time
}

// fileState tells whether the files were replaced.
type fileState struct {
	certModTime, keyModTime time.Time
	certSize, keySize       int64
}

// New reads the files once and returns a Reloader. report is called when a
// later reading fails; the last good certificate stays in use then.
func New(certFile, keyFile string, report func(err error)) (*Reloader, error) {
	reloader := &Reloader{certFile: certFile, keyFile: keyFile, onReloadError: report}
	if err := reloader.load(); err != nil {
		return nil, err
	}
	return reloader, nil
}

// Config returns a server's TLS configuration that uses the newest certificate.
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
	if read, err := reloader.statFiles(); err == nil && read == reloader.loadedState {
		return reloader.current
	}
	if err := reloader.load(); err != nil {
		reloader.onReloadError(err)
	}
	return reloader.current
}

func (reloader *Reloader) load() error {
	read, err := reloader.statFiles()
	if err != nil {
		return err
	}
	loaded, err := tls.LoadX509KeyPair(reloader.certFile, reloader.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %q", reloader.certFile)
	}
	reloader.current = &loaded
	reloader.loadedState = read
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

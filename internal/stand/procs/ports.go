package procs

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Ports gives out free ports of the loopback address, each once.
type Ports struct {
	mu    sync.Mutex
	given map[int]bool
}

// NewPorts returns a Ports.
func NewPorts() *Ports { return &Ports{given: make(map[int]bool)} }

// Port returns a port that is free and was not given out before.
func (ports *Ports) Port() int {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if !ports.given[port] {
			ports.given[port] = true
			return port
		}
	}
}

// Listening checks that something listens at an "ip:port".
func Listening(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	return conn.Close()
}

// Healthy checks that a GET of the URL is answered with status 200.
func Healthy(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "ask %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", url, response.Status)
	}
	return nil
}

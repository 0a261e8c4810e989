package procs

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	firstPort = 10000
	endPort   = 32000
)

// PortAllocator gives out free ports of the loopback address, each once, in ascending
// order from a random one, so that several systems seldom meet.
type PortAllocator struct {
	mu   sync.Mutex
	next int
}

// NewPortAllocator returns a Ports.
func NewPortAllocator() *PortAllocator {
	return &PortAllocator{next: firstPort + rand.IntN(endPort-firstPort)}
}

// Port returns a port that is free and was not given out before. It lies below
// the ports that the system gives to outgoing connections: one of those could
// take the port before the process that it was meant for listens.
func (ports *PortAllocator) Port() int {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		port := ports.next
		ports.next++
		if ports.next == endPort {
			ports.next = firstPort
		}
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return port
	}
}

// CheckListening checks that something listens at an "ip:port".
func CheckListening(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	return conn.Close()
}

// CheckHealthy checks that a GET of the URL is answered with status 200.
func CheckHealthy(ctx context.Context, url string) error {
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

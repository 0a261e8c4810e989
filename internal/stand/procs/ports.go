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

// PortAllocator allocates free ports of the loopback address in ascending order.
// It starts at a random port, so that systems that run at the same time rarely
// try the same ports.
type PortAllocator struct {
	mu   sync.Mutex
	next int
}

// NewPortAllocator returns a PortAllocator that starts at a random port.
func NewPortAllocator() *PortAllocator {
	return &PortAllocator{next: firstPort + rand.IntN(endPort-firstPort)}
}

// Port returns a free port that was not returned before, until the range is
// exhausted. The range is below the ephemeral ports of the operating system: an
// outgoing connection could otherwise take the port before the intended process
// listens on it.
func (portAllocator *PortAllocator) Port() int { return portAllocator.Ports(1) }

// Ports returns the first of count consecutive ports, each like one of Port.
func (portAllocator *PortAllocator) Ports(count int) int {
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for found := 0; ; {
		port := portAllocator.next
		portAllocator.next++
		if portAllocator.next == endPort {
			portAllocator.next = firstPort
		}
		if port == firstPort {
			found = 0
		}
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			found = 0
			continue
		}
		_ = listener.Close()
		if found++; found == count {
			return port - count + 1
		}
	}
}

// CheckListening returns an error unless a TCP connection to address, an
// "ip:port", succeeds.
func CheckListening(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	return conn.Close()
}

// CheckHealthy returns an error unless a GET request for url returns status 200.
func CheckHealthy(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "request %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "request %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %s", url, response.Status)
	}
	return nil
}

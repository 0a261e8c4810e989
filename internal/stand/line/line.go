// Package line wraps network connections to delay or block their traffic.
package line

import (
	"net"
	"sync"
	"time"
)

// Gate blocks the traffic of connections while it is closed.
type Gate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate opens; nil while it is open
}

// NewGate returns an open Gate.
func NewGate() *Gate { return &Gate{} }

// SetClosed closes or opens the Gate.
func (gate *Gate) SetClosed(closed bool) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	switch {
	case closed && gate.reopened == nil:
		gate.reopened = make(chan struct{})
	case !closed && gate.reopened != nil:
		close(gate.reopened)
		gate.reopened = nil
	}
}

// WaitOpen blocks until the Gate is open.
func (gate *Gate) WaitOpen() {
	for {
		gate.mu.Lock()
		reopened := gate.reopened
		gate.mu.Unlock()
		if reopened == nil {
			return
		}
		<-reopened
	}
}

const queueCapacity = 1024

type chunk struct {
	data     []byte
	queuedAt time.Time
	err      error
}

// Conn is a connection that delays its bytes in both directions and transfers
// them only while all its gates are open.
type Conn struct {
	net.Conn
	delay     time.Duration
	mu        sync.Mutex
	gates     []*Gate
	received  chan chunk
	sent      chan chunk
	unread    []byte
	done      chan struct{}
	closeOnce sync.Once
}

// New wraps inner. The delay applies to each direction.
func New(inner net.Conn, delay time.Duration, gates ...*Gate) *Conn {
	conn := &Conn{
		Conn:     inner,
		delay:    delay,
		gates:    gates,
		received: make(chan chunk, queueCapacity),
		sent:     make(chan chunk, queueCapacity),
		done:     make(chan struct{}),
	}
	if delay > 0 {
		go conn.receiveLoop()
		go conn.sendLoop()
	}
	return conn
}

// AddGate adds a gate that must be open for bytes to be transferred.
func (conn *Conn) AddGate(gate *Gate) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.gates = append(conn.gates, gate)
}

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (int, error) {
	if conn.delay == 0 {
		count, err := conn.Conn.Read(buffer)
		conn.waitGates()
		return count, err
	}
	if len(conn.unread) == 0 {
		next, ok := <-conn.received
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(next.queuedAt.Add(conn.delay)))
		conn.waitGates()
		if next.err != nil {
			return 0, next.err
		}
		conn.unread = next.data
	}
	count := copy(buffer, conn.unread)
	conn.unread = conn.unread[count:]
	return count, nil
}

// Write implements net.Conn. With a delay it returns before the bytes are sent
// and reports only the errors of earlier writes.
func (conn *Conn) Write(data []byte) (int, error) {
	if conn.delay == 0 {
		conn.waitGates()
		return conn.Conn.Write(data)
	}
	select {
	case <-conn.done:
		return 0, net.ErrClosed
	case conn.sent <- chunk{data: append([]byte(nil), data...), queuedAt: time.Now()}:
		return len(data), nil
	}
}

// Close implements net.Conn. With a delay, bytes that were written before are
// still delivered.
func (conn *Conn) Close() error {
	var err error
	conn.closeOnce.Do(func() {
		close(conn.done)
		if conn.delay == 0 {
			err = conn.Conn.Close()
		}
	})
	return err
}

func (conn *Conn) waitGates() {
	conn.mu.Lock()
	gates := conn.gates
	conn.mu.Unlock()
	for _, gate := range gates {
		gate.WaitOpen()
	}
}

func (conn *Conn) receiveLoop() {
	defer close(conn.received)
	for {
		buffer := make([]byte, 4096)
		count, err := conn.Conn.Read(buffer)
		if count > 0 && !conn.queueReceived(chunk{data: buffer[:count], queuedAt: time.Now()}) {
			return
		}
		if err != nil {
			conn.queueReceived(chunk{err: err, queuedAt: time.Now()})
			return
		}
	}
}

func (conn *Conn) queueReceived(next chunk) bool {
	select {
	case <-conn.done:
		return false
	case conn.received <- next:
		return true
	}
}

func (conn *Conn) sendLoop() {
	defer func() { _ = conn.Conn.Close() }()
	for {
		select {
		case next := <-conn.sent:
			if !conn.deliver(next) {
				return
			}
		case <-conn.done:
			conn.sendQueued()
			return
		}
	}
}

func (conn *Conn) sendQueued() {
	for {
		select {
		case next := <-conn.sent:
			if !conn.deliver(next) {
				return
			}
		default:
			return
		}
	}
}

func (conn *Conn) deliver(next chunk) bool {
	time.Sleep(time.Until(next.queuedAt.Add(conn.delay)))
	conn.waitGates()
	_, err := conn.Conn.Write(next.data)
	if err != nil {
		_ = conn.Close()
	}
	return err == nil
}

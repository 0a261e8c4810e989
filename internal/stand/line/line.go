// Package line wraps connections so that their messages can be delayed or held.
package line

import (
	"net"
	"sync"
	"time"
)

// Gate holds the traffic of connections while it is closed.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// NewGate returns an open Gate.
func NewGate() *Gate { return &Gate{} }

// Set closes or opens the Gate.
func (gate *Gate) Set(closed bool) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	switch {
	case closed && gate.closed == nil:
		gate.closed = make(chan struct{})
	case !closed && gate.closed != nil:
		close(gate.closed)
		gate.closed = nil
	}
}

// Wait returns when the Gate is open.
func (gate *Gate) Wait() {
	for {
		gate.mu.Lock()
		opened := gate.closed
		gate.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

const queueLength = 1024

type chunk struct {
	data []byte
	at   time.Time
	err  error
}

// Conn is a connection whose bytes arrive after a delay, in both directions,
// and only while its gates are open.
type Conn struct {
	net.Conn
	delay    time.Duration
	mu       sync.Mutex
	gates    []*Gate
	received chan chunk
	sent     chan chunk
	rest     []byte
	done     chan struct{}
	once     sync.Once
}

// New wraps inner.
func New(inner net.Conn, delay time.Duration, gates ...*Gate) *Conn {
	conn := &Conn{
		Conn:     inner,
		delay:    delay,
		gates:    gates,
		received: make(chan chunk, queueLength),
		sent:     make(chan chunk, queueLength),
		done:     make(chan struct{}),
	}
	if delay > 0 {
		go conn.receive()
		go conn.send()
	}
	return conn
}

// Watch adds a gate.
func (conn *Conn) Watch(gate *Gate) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.gates = append(conn.gates, gate)
}

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (int, error) {
	if conn.delay == 0 {
		count, err := conn.Conn.Read(buffer)
		conn.wait()
		return count, err
	}
	if len(conn.rest) == 0 {
		next, ok := <-conn.received
		if !ok {
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(next.at.Add(conn.delay)))
		conn.wait()
		if next.err != nil {
			return 0, next.err
		}
		conn.rest = next.data
	}
	count := copy(buffer, conn.rest)
	conn.rest = conn.rest[count:]
	return count, nil
}

// Write implements net.Conn. It reports only errors of earlier writes if the Conn delays.
func (conn *Conn) Write(data []byte) (int, error) {
	if conn.delay == 0 {
		conn.wait()
		return conn.Conn.Write(data)
	}
	select {
	case <-conn.done:
		return 0, net.ErrClosed
	case conn.sent <- chunk{data: append([]byte(nil), data...), at: time.Now()}:
		return len(data), nil
	}
}

// Close implements net.Conn. Bytes that were written before are still delivered.
func (conn *Conn) Close() error {
	var err error
	conn.once.Do(func() {
		close(conn.done)
		if conn.delay == 0 {
			err = conn.Conn.Close()
		}
	})
	return err
}

func (conn *Conn) wait() {
	conn.mu.Lock()
	gates := conn.gates
	conn.mu.Unlock()
	for _, gate := range gates {
		gate.Wait()
	}
}

func (conn *Conn) receive() {
	defer close(conn.received)
	for {
		buffer := make([]byte, 4096)
		count, err := conn.Conn.Read(buffer)
		if count > 0 && !conn.queue(chunk{data: buffer[:count], at: time.Now()}) {
			return
		}
		if err != nil {
			conn.queue(chunk{err: err, at: time.Now()})
			return
		}
	}
}

func (conn *Conn) queue(next chunk) bool {
	select {
	case <-conn.done:
		return false
	case conn.received <- next:
		return true
	}
}

func (conn *Conn) send() {
	defer func() { _ = conn.Conn.Close() }()
	for {
		select {
		case next := <-conn.sent:
			if !conn.deliver(next) {
				return
			}
		case <-conn.done:
			conn.drain()
			return
		}
	}
}

func (conn *Conn) drain() {
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
	time.Sleep(time.Until(next.at.Add(conn.delay)))
	conn.wait()
	_, err := conn.Conn.Write(next.data)
	if err != nil {
		_ = conn.Close()
	}
	return err == nil
}

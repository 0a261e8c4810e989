package mesh

import (
	"bufio"
	"net"
)

// readBufferBytes is the size of the read buffer of a connection of another proxy.
const readBufferBytes = 4096

// bufferedListener accepts connections whose reads are buffered. The HTTP/2 server reads the
// header and the body of each frame by a system call of its own, six for each poll.
type bufferedListener struct{ net.Listener }

// Accept implements net.Listener.
func (listener bufferedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &bufferedConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// bufferedConn is a connection with a read buffer. Like that of any net.Conn, its Read must not be
// called by two goroutines at a time.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (conn *bufferedConn) Read(data []byte) (int, error) { return conn.reader.Read(data) }

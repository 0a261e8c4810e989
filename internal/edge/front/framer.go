package front

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

const (
	framerBufferBytes = 1 << 10
	headerBytes       = 5
	lengthBytes       = 4
	knownMessageTypes = "BCDEFfdcHPpQSX"
)

// oversizeError reports a message that was larger than the limit and was
// discarded. The next read starts at the following message.
type oversizeError struct {
	messageType byte
	size        int
	limit       int
}

// Error implements error.
func (oversizeError *oversizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", oversizeError.size, oversizeError.limit)
}

// framingError reports a header that is not one of a protocol message. The start
// of the next message is unknown.
type framingError struct {
	detail string
}

// Error implements error.
func (framingError *framingError) Error() string { return framingError.detail }

// framer reads from a caller. Once startupDone is set, a Read returns bytes of at
// most one message, and messages larger than maxMessageBytes are discarded, so
// that they do not end the connection.
type framer struct {
	buffer          *bufio.Reader
	maxMessageBytes int
	startupDone     bool
	remainingBytes  int
	// oversize is a message of which skippedBytes are still to be discarded, or nil.
	oversize     *oversizeError
	skippedBytes int
	// messageType is the type of the message that was read last.
	messageType byte
}

func newFramer(source io.Reader, limit int) *framer {
	return &framer{buffer: bufio.NewReaderSize(source, framerBufferBytes), maxMessageBytes: limit}
}

// Read implements io.Reader.
func (framer *framer) Read(target []byte) (int, error) {
	if !framer.startupDone {
		return framer.readStartup(target)
	}
	if framer.remainingBytes == 0 {
		if err := framer.nextMessage(); err != nil {
			return 0, err
		}
	}
	count, err := framer.buffer.Read(target[:min(len(target), framer.remainingBytes)])
	framer.remainingBytes -= count
	return count, err
}

// readStartup reads no further than the end of the start-up packet. The bytes
// after it stay in the buffer, since they can be those of a TLS handshake.
func (framer *framer) readStartup(target []byte) (int, error) {
	if framer.remainingBytes == 0 {
		length, err := framer.buffer.Peek(lengthBytes)
		if err != nil {
			return 0, err
		}
		framer.remainingBytes = max(lengthBytes, int(int32(binary.BigEndian.Uint32(length))))
	}
	count, err := framer.buffer.Read(target[:min(len(target), framer.remainingBytes)])
	framer.remainingBytes -= count
	return count, err
}

// peekByte returns the next byte without consuming it.
func (framer *framer) peekByte() (byte, error) {
	first, err := framer.buffer.Peek(1)
	if err != nil {
		return 0, err
	}
	return first[0], nil
}

func (framer *framer) nextMessage() error {
	if framer.oversize != nil {
		return framer.skipOversize()
	}
	header, err := framer.buffer.Peek(headerBytes)
	if err != nil {
		return err
	}
	messageType := header[0]
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if strings.IndexByte(knownMessageTypes, messageType) < 0 {
		return &framingError{detail: fmt.Sprintf("unknown message type %q", messageType)}
	}
	if length < lengthBytes {
		return &framingError{detail: fmt.Sprintf("message length %d is below %d", length, lengthBytes)}
	}
	if length-lengthBytes > framer.maxMessageBytes {
		framer.oversize = &oversizeError{messageType: messageType, size: length - lengthBytes, limit: framer.maxMessageBytes}
		framer.skippedBytes = length + 1
		return framer.skipOversize()
	}
	framer.remainingBytes, framer.messageType = length+1, messageType
	return nil
}

// skipOversize discards the rest of an oversize message, also after an interrupted read, and
// returns the error about the message.
func (framer *framer) skipOversize() error {
	count, err := framer.buffer.Discard(framer.skippedBytes)
	framer.skippedBytes -= count
	if err != nil {
		return err
	}
	skipped := framer.oversize
	framer.oversize = nil
	return skipped
}

package front

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

const (
	framerBuffer = 1 << 10
	headerBytes  = 5
	lengthBytes  = 4
	messageTypes = "BCDEFfdcHPpQSX"
)

// oversizeError reports a message that was larger than the limit and was
// dropped. The connection stands at the next message.
type oversizeError struct {
	messageType byte
	size        int
	limit       int
}

// Error implements error.
func (oversizeError *oversizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", oversizeError.size, oversizeError.limit)
}

// framingError reports bytes that cannot be told apart into messages.
type framingError struct {
	detail string
}

// Error implements error.
func (framingError *framingError) Error() string { return framingError.detail }

// framer reads from a caller. Once messages is set it hands out the bytes of at
// most one message per Read and drops messages that are larger than limit, so
// that the connection outlives them.
type framer struct {
	buffer    *bufio.Reader
	limit     int
	messages  bool
	remaining int
	// messageType is the type of the message that was handed out last.
	messageType byte
}

func newFramer(source io.Reader, limit int) *framer {
	return &framer{buffer: bufio.NewReaderSize(source, framerBuffer), limit: limit}
}

// Read implements io.Reader.
func (framer *framer) Read(target []byte) (int, error) {
	if !framer.messages {
		return framer.readStartup(target)
	}
	if framer.remaining == 0 {
		if err := framer.nextMessage(); err != nil {
			return 0, err
		}
	}
	count, err := framer.buffer.Read(target[:min(len(target), framer.remaining)])
	framer.remaining -= count
	return count, err
}

// readStartup hands out one byte sequence no longer than the startup packet
// asks for, so that nothing after it is taken.
func (framer *framer) readStartup(target []byte) (int, error) {
	if framer.remaining == 0 {
		length, err := framer.buffer.Peek(lengthBytes)
		if err != nil {
			return 0, err
		}
		framer.remaining = max(lengthBytes, int(int32(binary.BigEndian.Uint32(length))))
	}
	count, err := framer.buffer.Read(target[:min(len(target), framer.remaining)])
	framer.remaining -= count
	return count, err
}

// firstByte returns the first byte that the caller sent, without taking it.
func (framer *framer) firstByte() (byte, error) {
	first, err := framer.buffer.Peek(1)
	if err != nil {
		return 0, err
	}
	return first[0], nil
}

func (framer *framer) nextMessage() error {
	header, err := framer.buffer.Peek(headerBytes)
	if err != nil {
		return err
	}
	messageType := header[0]
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if strings.IndexByte(messageTypes, messageType) < 0 {
		return &framingError{detail: fmt.Sprintf("unknown message type %q", messageType)}
	}
	if length < lengthBytes {
		return &framingError{detail: fmt.Sprintf("message length %d is below %d", length, lengthBytes)}
	}
	if length-lengthBytes > framer.limit {
		if _, err := framer.buffer.Discard(length + 1); err != nil {
			return err
		}
		return &oversizeError{messageType: messageType, size: length - lengthBytes, limit: framer.limit}
	}
	framer.remaining, framer.messageType = length+1, messageType
	return nil
}

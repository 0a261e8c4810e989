package insta

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const maxEntriesPerFrame = 256

// shipLog sends the log to a replica while the instance is the primary of the
// term that the replica follows. Frames without entries serve as heartbeats.
func (instance *Instance) shipLog(conn net.Conn) {
	var hello ctrlpb.ReplicaHello
	if protodelim.UnmarshalFrom(bufio.NewReader(conn), &hello) != nil {
		return
	}
	term := model.Term(hello.GetTerm())
	instance.mu.Lock()
	position := instance.log.sharedPosition(hello.GetRuns())
	instance.mu.Unlock()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		frame, changed := instance.nextFrame(term, position)
		if frame == nil {
			return
		}
		frame.First = first
		frame.SharedPosition = position
		if _, err := protodelim.MarshalTo(conn, frame); err != nil {
			return
		}
		position += uint64(len(frame.GetEntries()))
		if len(frame.GetEntries()) == maxEntriesPerFrame {
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// nextFrame returns a frame with the entries after position and a channel that is
// closed when the log or the role changes. The frame is nil if the instance is
// not the primary of the term.
func (instance *Instance) nextFrame(term model.Term, position uint64) (*ctrlpb.PrimaryFrame, <-chan struct{}) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if !instance.isPrimaryOf(term) {
		return nil, nil
	}
	frame := &ctrlpb.PrimaryFrame{
		Term:         uint64(term),
		TailPosition: uint64(instance.log.tail().Position()),
		Entries:      instance.log.entriesAfter(position, maxEntriesPerFrame),
	}
	return frame, instance.stateChanged
}

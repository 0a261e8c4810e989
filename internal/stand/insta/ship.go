package insta

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const entriesPerFrame = 256

// ship sends the log to a replica as long as the instance is the primary of the
// term that the replica follows.
func (instance *Instance) ship(conn net.Conn) {
	var hello ctrlpb.ReplicaHello
	if protodelim.UnmarshalFrom(bufio.NewReader(conn), &hello) != nil {
		return
	}
	term := model.Term(hello.GetTerm())
	instance.mu.Lock()
	position := instance.journal.shared(hello.GetRuns())
	instance.mu.Unlock()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		frame, changed := instance.frame(term, position)
		if frame == nil {
			return
		}
		frame.First = first
		frame.SharedPosition = position
		if _, err := protodelim.MarshalTo(conn, frame); err != nil {
			return
		}
		position += uint64(len(frame.GetEntries()))
		if len(frame.GetEntries()) == entriesPerFrame {
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// frame returns the entries after position and a channel that is closed when
// there is more, or nil if the instance does not lead the term.
func (instance *Instance) frame(term model.Term, position uint64) (*ctrlpb.PrimaryFrame, <-chan struct{}) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if !instance.leads(term) {
		return nil, nil
	}
	frame := &ctrlpb.PrimaryFrame{
		Term:         uint64(term),
		TailPosition: uint64(instance.journal.tail().Position()),
		Entries:      instance.journal.after(position, entriesPerFrame),
	}
	return frame, instance.changed
}

package insta

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/line"
)

const (
	frameQueueCapacity = 1 << 16
	lagCheckInterval   = 10 * time.Millisecond
)

type receivedFrame struct {
	frame      *ctrlpb.PrimaryFrame
	receivedAt time.Time
}

// startReplication begins to copy the log of the primary of a term. The caller
// holds mu.
func (instance *Instance) startReplication(term model.Term, primary, address string) {
	instance.stopReplication()
	instance.upstream = primary
	instance.followedTerm = term
	instance.lastFrameAt = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	instance.stopReplication = cancel
	go instance.replicate(ctx, term, address)
}

// replicate copies the log of the primary and reconnects after errors until the
// context ends.
func (instance *Instance) replicate(ctx context.Context, term model.Term, address string) {
	for ctx.Err() == nil {
		_ = instance.replicateOnce(ctx, term, address)
		_ = sleepContext(ctx, reconnectInterval)
	}
}

func (instance *Instance) replicateOnce(ctx context.Context, term model.Term, address string) error {
	var dialer net.Dialer
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to primary at %s", address)
	}
	conn := line.New(dialed, 0, instance.instanceGate, instance.groupGate)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := handshake(conn); err != nil {
		return err
	}
	instance.mu.Lock()
	hello := &ctrlpb.ReplicaHello{Term: uint64(term), Runs: instance.log.runs()}
	instance.mu.Unlock()
	if _, err := protodelim.MarshalTo(conn, hello); err != nil {
		return errors.Wrap(err, "send hello to primary")
	}
	frames := make(chan receivedFrame, frameQueueCapacity)
	applyCtx, cancel := context.WithCancel(ctx)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		instance.applyFrames(applyCtx, term, frames)
	}()
	defer func() {
		cancel()
		close(frames)
		<-applied
	}()
	reader := bufio.NewReader(conn)
	for {
		frame := &ctrlpb.PrimaryFrame{}
		if err := protodelim.UnmarshalFrom(reader, frame); err != nil {
			return errors.Wrap(err, "receive log entries")
		}
		instance.mu.Lock()
		instance.lastFrameAt = time.Now()
		instance.mu.Unlock()
		frames <- receivedFrame{frame: frame, receivedAt: time.Now()}
	}
}

func handshake(conn net.Conn) error {
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": replicationUser},
	})
	if err := frontend.Flush(); err != nil {
		return errors.Wrap(err, "send start-up message to primary")
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive start-up response from primary")
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
	}
}

// applyFrames applies each frame once the replication lag has passed since its
// receipt. It polls, because the lag can change while a frame waits.
func (instance *Instance) applyFrames(ctx context.Context, term model.Term, frames <-chan receivedFrame) {
	for next := range frames {
		for ctx.Err() == nil {
			rest := time.Until(next.receivedAt.Add(instance.currentLag()))
			if rest <= 0 {
				break
			}
			_ = sleepContext(ctx, min(rest, lagCheckInterval))
		}
		instance.applyFrame(ctx, term, next.frame)
	}
}

func (instance *Instance) currentLag() time.Duration {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.lag
}

// applyFrame appends the entries of a frame, unless the fence now has another
// term. The first frame truncates the log to the part that it shares with the
// primary's log.
func (instance *Instance) applyFrame(ctx context.Context, term model.Term, frame *ctrlpb.PrimaryFrame) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if ctx.Err() != nil || instance.fence != term || instance.primary {
		return
	}
	if frame.GetFirst() {
		instance.rewind(frame.GetSharedPosition())
	}
	if uint64(len(instance.log.entries)) != frame.GetSharedPosition() {
		return
	}
	for _, entry := range frame.GetEntries() {
		instance.log.entries = append(instance.log.entries, entry)
		instance.tables.apply(entry)
	}
	if uint64(len(instance.log.entries)) >= frame.GetTailPosition() {
		instance.joining = false
	}
	if len(frame.GetEntries()) > 0 {
		instance.notifyChange()
	}
}

// rewind removes the entries after position and their effects on the tables. The
// caller holds mu.
func (instance *Instance) rewind(position uint64) {
	if uint64(len(instance.log.entries)) <= position {
		return
	}
	instance.log.truncate(position)
	instance.tables = newTables()
	for _, entry := range instance.log.entries {
		instance.tables.apply(entry)
	}
}

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
	frameQueue = 1 << 16
	lagStep    = 10 * time.Millisecond
)

type arrival struct {
	frame *ctrlpb.PrimaryFrame
	at    time.Time
}

// copyFrom begins to copy the log of a term's primary. The lock is held.
func (instance *Instance) copyFrom(term model.Term, primary, address string) {
	instance.stopPull()
	instance.upstream = primary
	instance.copied = term
	instance.heard = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	instance.stopPull = cancel
	go instance.pull(ctx, term, address)
}

// pull connects to the primary again and again until the context ends.
func (instance *Instance) pull(ctx context.Context, term model.Term, address string) {
	for ctx.Err() == nil {
		_ = instance.pullOnce(ctx, term, address)
		_ = pause(ctx, redialInterval)
	}
}

func (instance *Instance) pullOnce(ctx context.Context, term model.Term, address string) error {
	var dialer net.Dialer
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to primary at %s", address)
	}
	conn := line.New(dialed, 0, instance.frozen, instance.groupCut)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := handshake(conn); err != nil {
		return err
	}
	instance.mu.Lock()
	hello := &ctrlpb.ReplicaHello{Term: uint64(term), Runs: instance.journal.runs()}
	instance.mu.Unlock()
	if _, err := protodelim.MarshalTo(conn, hello); err != nil {
		return errors.Wrap(err, "send hello to primary")
	}
	arrivals := make(chan arrival, frameQueue)
	applyCtx, cancel := context.WithCancel(ctx)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		instance.applyAll(applyCtx, term, arrivals)
	}()
	defer func() {
		cancel()
		close(arrivals)
		<-applied
	}()
	reader := bufio.NewReader(conn)
	for {
		frame := &ctrlpb.PrimaryFrame{}
		if err := protodelim.UnmarshalFrom(reader, frame); err != nil {
			return errors.Wrap(err, "receive log entries")
		}
		instance.mu.Lock()
		instance.heard = time.Now()
		instance.mu.Unlock()
		arrivals <- arrival{frame: frame, at: time.Now()}
	}
}

func handshake(conn net.Conn) error {
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": replicationUser},
	})
	if err := frontend.Flush(); err != nil {
		return errors.Wrap(err, "send start-up to primary")
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive start-up of primary")
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
	}
}

// applyAll appends what arrives after the lag of the instance.
func (instance *Instance) applyAll(ctx context.Context, term model.Term, arrivals <-chan arrival) {
	for next := range arrivals {
		for ctx.Err() == nil {
			rest := time.Until(next.at.Add(instance.currentLag()))
			if rest <= 0 {
				break
			}
			_ = pause(ctx, min(rest, lagStep))
		}
		instance.apply(ctx, term, next.frame)
	}
}

func (instance *Instance) currentLag() time.Duration {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.lag
}

// apply appends the entries of a frame, unless the instance has moved on to
// another term. The first frame drops what the primary's log does not hold.
func (instance *Instance) apply(ctx context.Context, term model.Term, frame *ctrlpb.PrimaryFrame) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if ctx.Err() != nil || instance.fence != term || instance.primary {
		return
	}
	if frame.GetFirst() {
		instance.rewind(frame.GetSharedPosition())
	}
	if uint64(len(instance.journal.entries)) != frame.GetSharedPosition() {
		return
	}
	for _, entry := range frame.GetEntries() {
		instance.journal.entries = append(instance.journal.entries, entry)
		instance.tables.apply(entry)
	}
	if uint64(len(instance.journal.entries)) >= frame.GetTailPosition() {
		instance.joining = false
	}
	if len(frame.GetEntries()) > 0 {
		instance.announce()
	}
}

// rewind drops the entries after position and their effects. The lock is held.
func (instance *Instance) rewind(position uint64) {
	if uint64(len(instance.journal.entries)) <= position {
		return
	}
	instance.journal.truncate(position)
	instance.tables = newTables()
	for _, entry := range instance.journal.entries {
		instance.tables.apply(entry)
	}
}

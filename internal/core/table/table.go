// Package table is a client of the platform's table service for plug-ins. Each call has
// a callback that is called exactly once, even if no answer arrives.
package table

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// Outcome is the result of a write.
type Outcome int

// The outcomes of a write.
const (
	// Written means that the transaction committed.
	Written Outcome = iota
	// Conflict means that a row had a version other than the expected one. Nothing was
	// changed.
	Conflict
	// Failed means that no answer arrived before the timeout, or that the store was restored
	// meanwhile. The transaction may have committed, or may still commit.
	Failed
)

// answerMargin is added to the store's timeout. A call for which the adapter has reported
// nothing by then counts as failed.
const answerMargin = 100 * time.Millisecond

type call struct {
	onRead  func(rows []model.Row, answeredAt time.Duration, ok bool)
	onWrite func(outcome Outcome)
	era     model.StoreEra // of the store when the call was made
	timeout timer.ID
}

// Client makes calls through a kernel's Context. The plug-in that owns the Client must
// pass every event to Handle.
type Client struct {
	context *kern.Context
	calls   map[model.PlatformCallID]call
}

// New returns a Client that uses the Context of its plug-in.
func New(context *kern.Context) *Client {
	return &Client{context: context, calls: make(map[model.PlatformCallID]call)}
}

// Read reads the rows of a table whose keys start with prefix. done receives the rows, or
// false if no answer arrived before the timeout.
func (client *Client) Read(table, prefix string, done func(rows []model.Row, ok bool)) {
	client.ReadTimed(table, prefix, func(rows []model.Row, _ time.Duration, ok bool) { done(rows, ok) })
}

// ReadTimed is like Read. done also receives the time of the answer on the store's steady clock,
// or 0 if it is not known.
func (client *Client) ReadTimed(table, prefix string, done func(rows []model.Row, answeredAt time.Duration, ok bool)) {
	id := client.add(call{onRead: done})
	client.context.Emit(event.NewReadStore(id, table, prefix))
}

// Write writes rows in one transaction. done receives its outcome.
func (client *Client) Write(writes []model.RowWrite, done func(outcome Outcome)) {
	id := client.add(call{onWrite: done})
	client.context.Emit(event.NewWriteStore(id, writes))
}

// Handle calls the callback of the call that the event answers. Events for calls of
// other Clients and for finished calls are ignored.
func (client *Client) Handle(received event.Event) {
	switch received := received.(type) {
	case event.StoreRead:
		client.handleRead(received)
	case event.StoreWritten:
		client.handleWritten(received)
	case event.StoreConflict:
		client.finishWrite(received.CallID(), Conflict)
	case event.StoreFailed:
		client.fail(received.CallID())
	}
}

// handleRead passes on the rows of the present era. Rows of an earlier one may no longer exist.
func (client *Client) handleRead(read event.StoreRead) {
	if read.Era() != client.context.State().StoreEra() {
		client.finishRead(read.CallID(), nil, 0, false)
		return
	}
	client.finishRead(read.CallID(), read.Rows(), read.AnsweredAt(), true)
}

// handleWritten reports the outcome of a transaction. If the store was restored after the call
// was made, the versions that it expected were those of another era, or the restore has
// undone the transaction.
func (client *Client) handleWritten(written event.StoreWritten) {
	era := client.context.State().StoreEra()
	if found := client.calls[written.CallID()]; found.era != era || written.Era() != era {
		client.finishWrite(written.CallID(), Failed)
		return
	}
	client.finishWrite(written.CallID(), Written)
}

func (client *Client) add(added call) model.PlatformCallID {
	id := model.PlatformCallID(client.context.NextID())
	added.era = client.context.State().StoreEra()
	limit := client.context.Settings().StoreTimeout() + answerMargin
	added.timeout = client.context.Timers().After(limit, func() { client.fail(id) })
	client.calls[id] = added
	return id
}

func (client *Client) fail(id model.PlatformCallID) {
	client.finishRead(id, nil, 0, false)
	client.finishWrite(id, Failed)
}

func (client *Client) finishRead(id model.PlatformCallID, rows []model.Row, answeredAt time.Duration, ok bool) {
	found, exists := client.calls[id]
	if !exists || found.onRead == nil {
		return
	}
	client.remove(id, found)
	found.onRead(rows, answeredAt, ok)
}

func (client *Client) finishWrite(id model.PlatformCallID, outcome Outcome) {
	found, exists := client.calls[id]
	if !exists || found.onWrite == nil {
		return
	}
	client.remove(id, found)
	found.onWrite(outcome)
}

func (client *Client) remove(id model.PlatformCallID, found call) {
	delete(client.calls, id)
	client.context.Timers().Cancel(found.timeout)
}

// Find returns the row with the given key, and whether there is one.
func Find(rows []model.Row, key string) (model.Row, bool) {
	for _, row := range rows {
		if row.Key() == key {
			return row, true
		}
	}
	return model.Row{}, false
}

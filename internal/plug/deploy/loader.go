package deploy

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

// headReadRate is the maximum rate of polls of the head row by all proxies together, in
// reads per second.
const headReadRate = 200

// loader reads the catalog from the store and puts revisions in force.
type loader struct {
	context        *kern.Context
	client         *table.Client
	confirmation   *confirmation
	propagator     *propagator
	reading        bool
	refreshPending bool // a refresh was requested during a read
}

func newLoader(context *kern.Context, client *table.Client, confirmation *confirmation, propagator *propagator) *loader {
	return &loader{context: context, client: client, confirmation: confirmation, propagator: propagator}
}

// start reads the head row immediately and then polls it.
func (loader *loader) start() { loader.poll() }

func (loader *loader) poll() {
	loader.refresh()
	proxies := time.Duration(len(loader.context.State().Registered()))
	interval := max(loader.context.Settings().StorePollInterval(), proxies*time.Second/headReadRate)
	loader.context.Timers().After(interval, loader.poll)
}

// refresh reads the head row immediately, or after the read in progress.
func (loader *loader) refresh() {
	if loader.reading {
		loader.refreshPending = true
		return
	}
	loader.reading = true
	sentAt := loader.context.Now()
	loader.client.Read(catalogTable, headKey, func(rows []model.Row, ok bool) {
		loader.reading = false
		if ok {
			loader.compareHead(rows, sentAt)
		}
		loader.refreshIfPending()
	})
}

// refreshIfPending starts the refresh that was requested during the last read.
func (loader *loader) refreshIfPending() {
	if loader.refreshPending && !loader.reading {
		loader.refreshPending = false
		loader.refresh()
	}
}

// compareHead loads the revision of the head row if it is higher than the one in force or
// if none is in force. Otherwise it confirms the one in force. The head row was read at
// sentAt or later.
func (loader *loader) compareHead(rows []model.Row, sentAt time.Duration) {
	row, _ := table.Find(rows, headKey)
	head, err := decodeHead(row)
	if err != nil {
		loader.logDecision("catalog_unreadable", 0, err.Error())
		return
	}
	revision, known := loader.context.State().Revision()
	if !known || head.Revision > revision {
		loader.load(head.Revision)
	}
	if known && head.Revision <= revision {
		loader.confirmation.observeStore(revision, sentAt)
	}
}

// load reads the deployments of a revision. The rows belong to the revision if the head row
// still has the same revision after the read.
func (loader *loader) load(revision uint64) {
	loader.reading = true
	loader.client.Read(catalogTable, deploymentPrefix, func(rows []model.Row, ok bool) {
		if !ok {
			loader.reading = false
			loader.refreshIfPending()
			return
		}
		loader.verify(revision, rows)
	})
}

func (loader *loader) verify(revision uint64, deployments []model.Row) {
	sentAt := loader.context.Now()
	loader.client.Read(catalogTable, headKey, func(rows []model.Row, ok bool) {
		loader.reading = false
		if ok {
			loader.finishLoad(revision, deployments, rows, sentAt)
		}
		loader.refreshIfPending()
	})
}

// finishLoad installs the deployments if the head row that was read after them has the same
// revision. Otherwise it starts over with the new head row.
func (loader *loader) finishLoad(revision uint64, deployments, rows []model.Row, sentAt time.Duration) {
	row, _ := table.Find(rows, headKey)
	head, err := decodeHead(row)
	if err == nil && head.Revision == revision {
		loader.install(revision, deployments, sentAt)
		return
	}
	loader.compareHead(rows, sentAt)
}

func (loader *loader) install(revision uint64, rows []model.Row, sentAt time.Duration) {
	deployments := make([]*model.Deployment, 0, len(rows))
	for _, row := range rows {
		deployment, err := model.DecodeDeployment(row.Value())
		if err != nil {
			loader.logDecision("catalog_unreadable", revision, err.Error())
			return
		}
		deployments = append(deployments, deployment)
	}
	loader.putInForce(revision, deployments, "read from the store")
	loader.confirmation.observeStore(revision, sentAt)
}

// putInForce puts a revision in force unless the same or a higher one is already in force.
func (loader *loader) putInForce(revision uint64, deployments []*model.Deployment, reason string) {
	if !loader.context.State().SetDeployments(revision, deployments) {
		return
	}
	loader.confirmation.update()
	loader.logDecision("revision_in_force", revision, reason)
	loader.context.Publish(event.NewCatalogChanged(revision))
	loader.propagator.answerPending()
}

func (loader *loader) logDecision(name string, revision uint64, reason string) {
	loader.context.Emit(event.NewLogDecision(model.Decision{
		Name:     name,
		Proxy:    loader.context.State().Self().ID(),
		Revision: revision,
		Reason:   reason,
	}))
}

package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// Heartbeat carries the sender's state to a peer. It is sent every heartbeat interval.
type Heartbeat struct {
	proxy        model.ProxyID
	address      string
	revision     uint64
	confirmed    bool
	draining     bool
	leaving      []model.InstanceID
	terms        []model.TermView
	holding      []model.GroupID
	knownProxies []model.ProxyView
}

// NewHeartbeat returns a Heartbeat without held groups and known proxies, which
// WithHolding and WithKnownProxies add.
func NewHeartbeat(proxy model.ProxyID, address string, revision uint64, confirmed bool, draining bool, leaving []model.InstanceID, terms []model.TermView) Heartbeat {
	return Heartbeat{
		proxy:     proxy,
		address:   address,
		revision:  revision,
		confirmed: confirmed,
		draining:  draining,
		leaving:   leaving,
		terms:     terms,
	}
}

// Proxy returns the sender.
func (heartbeat Heartbeat) Proxy() model.ProxyID { return heartbeat.proxy }

// Address returns the "ip:port" at which the sender accepts messages.
func (heartbeat Heartbeat) Address() string { return heartbeat.address }

// Revision returns the revision of the deployments that the sender has in force.
func (heartbeat Heartbeat) Revision() uint64 { return heartbeat.revision }

// Confirmed returns whether the sender confirmed the revision with the store within the
// confirmation limit.
func (heartbeat Heartbeat) Confirmed() bool { return heartbeat.confirmed }

// Draining returns whether the sender is shutting down.
func (heartbeat Heartbeat) Draining() bool { return heartbeat.draining }

// Leaving returns the instances that are leaving according to the sender.
func (heartbeat Heartbeat) Leaving() []model.InstanceID { return heartbeat.leaving }

// Terms returns the highest term that the sender knows for each group, with its primary.
func (heartbeat Heartbeat) Terms() []model.TermView { return heartbeat.terms }

// Holding returns the groups whose new writes wait while the sender moves their primary.
func (heartbeat Heartbeat) Holding() []model.GroupID { return heartbeat.holding }

// WithHolding returns a copy with the groups whose new writes wait.
func (heartbeat Heartbeat) WithHolding(holding []model.GroupID) Heartbeat {
	heartbeat.holding = holding
	return heartbeat
}

// KnownProxies returns the proxies that the sender knows. The list is sent to a peer on
// first contact, or if the peer may lack it, and is empty otherwise.
func (heartbeat Heartbeat) KnownProxies() []model.ProxyView { return heartbeat.knownProxies }

// WithKnownProxies returns a copy with the proxies that the sender knows.
func (heartbeat Heartbeat) WithKnownProxies(knownProxies []model.ProxyView) Heartbeat {
	heartbeat.knownProxies = knownProxies
	return heartbeat
}

func (Heartbeat) isPeerMessage() {}

// CatalogPush carries all deployments of a revision.
type CatalogPush struct {
	proxy       model.ProxyID
	revision    uint64
	deployments []*model.Deployment
}

// NewCatalogPush returns a CatalogPush.
func NewCatalogPush(proxy model.ProxyID, revision uint64, deployments []*model.Deployment) CatalogPush {
	return CatalogPush{proxy: proxy, revision: revision, deployments: deployments}
}

// Proxy returns the sender.
func (catalogPush CatalogPush) Proxy() model.ProxyID { return catalogPush.proxy }

// Revision returns the revision of the deployments.
func (catalogPush CatalogPush) Revision() uint64 { return catalogPush.revision }

// Deployments returns all deployments of the revision.
func (catalogPush CatalogPush) Deployments() []*model.Deployment { return catalogPush.deployments }

func (CatalogPush) isPeerMessage() {}

// CatalogAck acknowledges a CatalogPush: its revision or a higher one is in force.
type CatalogAck struct {
	proxy    model.ProxyID
	revision uint64
}

// NewCatalogAck returns a CatalogAck.
func NewCatalogAck(proxy model.ProxyID, revision uint64) CatalogAck {
	return CatalogAck{proxy: proxy, revision: revision}
}

// Proxy returns the sender of the acknowledgement.
func (catalogAck CatalogAck) Proxy() model.ProxyID { return catalogAck.proxy }

// Revision returns the revision in force.
func (catalogAck CatalogAck) Revision() uint64 { return catalogAck.revision }

func (CatalogAck) isPeerMessage() {}

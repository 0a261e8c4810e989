package elect

import "almondway.dev/almondway/internal/core/model"

// leaseRow is the lease's row in the store.
type leaseRow struct {
	// Holder is the proxy that may order promotions. It is empty after the holder has
	// resigned.
	Holder model.ProxyID `json:"holder"`
	// Token is the highest fencing token that the holder may use.
	Token uint64 `json:"token"`
	// Beat is incremented by each write of the row.
	Beat uint64 `json:"beat"`
	// Counted lists the instances of each group that may hold acknowledged commits. The
	// next holder needs it, since some of them may not be listed when it starts.
	Counted map[model.GroupID][]model.InstanceID `json:"counted,omitempty"`
	// Unreached lists those of Counted that have never answered. They may not be instances.
	Unreached map[model.GroupID][]model.InstanceID `json:"unreached,omitempty"`
	// Led is the last reported primary of each group. The next holder needs it, since
	// the primary may not be listed when it starts.
	Led map[model.GroupID]primaryRecord `json:"led,omitempty"`
	// Following lists those of Counted that have reported the term in Led.
	Following map[model.GroupID][]model.InstanceID `json:"following,omitempty"`
	// Ordered is the instance of each group for which a promotion order may still be
	// carried out.
	Ordered map[model.GroupID]model.InstanceID `json:"ordered,omitempty"`
	// OrdersLost is set while promotion orders that the row does not list may still be carried
	// out, since the store was restored from a copy that lacks them.
	OrdersLost bool `json:"orders_lost,omitempty"`
}

// primaryRecord records that an instance was the primary of a term.
type primaryRecord struct {
	Instance model.InstanceID `json:"instance"`
	Term     model.Term       `json:"term"`
	// Only is set if no order for another instance can have been carried out since.
	Only bool `json:"only,omitempty"`
}

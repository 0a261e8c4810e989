package state

import (
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// Guards against an entry with too many slots: a statement needs a connection.
func TestSlotsAreBoundedByConnections(t *testing.T) {
	tests := []struct {
		name     string
		maxConns int
		slots    int
		want     int
	}{
		{"fewer slots", 34, 5, 5},
		{"more slots than connections", 34, 65536, 34},
		{"connections unknown", 0, 65536, 65536},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			shared := New(model.ProxyView{})
			put := func(maxConns int) { shared.PutGroup(model.NewGroup("g", nil).WithMaxConns(maxConns)) }
			put(test.maxConns)
			instance := model.NewInstance("i-1", "10.0.0.1:1", "d").WithCapacity(test.slots, 0)
			is.True(shared.PutMember(model.NewListing(model.ListingSpec{Group: "g", Instance: instance})))
			slots := func() int { return shared.Group("g").Member("i-1").Instance().Slots() }
			is.Equal(slots(), test.want)
			put(2)
			is.Equal(slots(), 2)
			put(test.maxConns)
			is.Equal(slots(), test.want)
		})
	}
}

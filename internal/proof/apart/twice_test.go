package apart

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const twiceLimit = 20 * time.Second

// A second primary that is lost right after the first one has come back empty
// and copied the log does not end the service of the group.
func TestSecondLossRightAfterReturn(t *testing.T) {
	system := newSystem(t, 3)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(system.ctx, twiceLimit)
	defer cancel()
	system.ctx = ctx
	proxies := system.Proxies()
	system.persist(proxies[0], enrol(newID(), setTo("seats", "0")))
	for round := range 2 {
		primary, err := system.Primary(system.ctx, group)
		is.NoErr(err)
		id := newID()
		system.Instance(primary.ID).Kill()
		for _, proxy := range proxies {
			system.persist(proxy, enrol(id, addSeat()))
		}
		is.Equal(system.value(proxies[1], "seats"), strconv.Itoa(round+1))
		is.NoErr(system.ReplaceInstance(primary.ID))
		system.awaitCaughtUp(primary.ID)
	}
}

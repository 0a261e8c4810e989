package apart

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const repeatedLossTimeout = 20 * time.Second

// The first primary is lost, restarts with an empty log and catches up. The second primary is
// lost immediately afterwards. The group must remain available.
func TestSecondPrimaryLossAfterCatchUp(t *testing.T) {
	system := newSystem(t, 3)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(system.ctx, repeatedLossTimeout)
	defer cancel()
	system.ctx = ctx
	proxies := system.Proxies()
	system.execUntilDone(proxies[0], enrolRequest(newRequestID(), setValueSQL("seats", "0")))
	for round := range 2 {
		primary, err := system.Primary(system.ctx, groupID)
		is.NoErr(err)
		id := newRequestID()
		system.InstanceProcess(primary.ID).Kill()
		for _, proxy := range proxies {
			system.execUntilDone(proxy, enrolRequest(id, addSeatSQL()))
		}
		is.Equal(system.readValue(proxies[1], "seats"), strconv.Itoa(round+1))
		is.NoErr(system.ReplaceInstance(primary.ID))
		system.awaitCaughtUp(primary.ID)
	}
}

package city

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// All proxies return while the store is away for 5 s. They try the configuration, and read the rows of
// the others once that has come. Every proxy has its lists and knows the others soon after the store
// is back.
func TestReturnWithoutStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	day := newCallsDay(t, 37)
	day.run(20 * time.Second)
	day.restartAll(0)
	day.run(100 * time.Millisecond)
	before, rowReads := day.total(), day.store.calls["proxy_read"]
	day.storeAway(0, 5*time.Second, 1)
	day.run(5 * time.Second)
	rowReads = day.store.calls["proxy_read"] - rowReads
	t.Logf("%d calls without the store, %d of them for rows", day.total()-before, rowReads)
	is.True(rowReads <= 3*len(day.proxies))
	is.True(day.total()-before <= 16*len(day.proxies)) // 47 when each list and the rows were tried alone
	day.run(3 * time.Second)
	late := day.lastUnable - 25100*time.Millisecond
	is.True(late <= 700*time.Millisecond)
	t.Logf("the last proxy has its lists %v after the return, calls %d", late, day.total()-before)
	is.Equal(day.counts(), []int{69})
}

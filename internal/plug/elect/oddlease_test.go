package elect_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// Guards against groups without a promoter: another writer has replaced the row of the lease.
func TestOddLeaseRow(t *testing.T) {
	odd := []string{"", "\xff{", strings.Repeat("[", 20000), `{"holder":"x","token":` + strings.Repeat("9", 400) + `}`, `{"token":-1}`, `{"token":1.5}`}
	tests := []struct {
		name     string
		holder   string // of the lease before, or empty if none is known
		run      time.Duration
		holds    bool
		minToken uint64
	}{
		{"of this proxy", "self", 1500 * time.Millisecond, true, 32},
		{"of another proxy, which may still hold it", "other", 2 * time.Second, false, 0},
		{"of another proxy that is gone", "other", 8 * time.Second, true, 1 << 16},
		{"never known", "", 20 * time.Second, false, 0},
	}
	for _, test := range tests {
		for _, value := range odd {
			t.Run(test.name+" "+value[:min(len(value), 20)], func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture(true)
				if test.holder == "other" {
					fixture.put("promoter", storedLease{Holder: "other", Token: 64, Beat: 9})
				}
				if test.holder != "" {
					fixture.run(2 * time.Second)
				}
				fixture.version++
				fixture.rows["promoter"] = model.NewRow("promoter", fixture.version, []byte(value))
				fixture.run(test.run)
				is.Equal(fixture.lease("promoter").Holder == "self", test.holds)
				is.True(fixture.lease("promoter").Token >= test.minToken)
				is.Equal(fixture.lease("promoter").OrdersLost, test.holds && test.holder == "other")
			})
		}
	}
}

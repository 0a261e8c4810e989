package quota

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against teams without tokens: another writer has replaced the list of lenders.
func TestOddListOfLenders(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"not JSON", "\xff{"},
		{"empty", ""},
		{"nested 20,000 deep", strings.Repeat("[", 20000) + strings.Repeat("]", 20000)},
		{"number of 400 digits", `{"number":` + strings.Repeat("9", 400) + `}`},
		{"largest number", `{"number":18446744073709551615,"settled":true}`},
		{"lender of no name", `{"number":1,"lenders":[{"id":"","address":"10.0.0.1:65536","cores":1e300}],"settled":true}`},
		{"lenders that do not live", `{"number":1,"lenders":[{"id":"x","address":"10.0.0.1:1","cores":1e300},{"id":"x","cores":-1}],"settled":true}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			system := newSystem(4, limitedTeam(40, 40))
			system.run(4 * time.Second)
			system.version += 3
			system.value = []byte(test.value)
			system.run(20 * time.Second)
			system.refused = 0
			for step := range 200 {
				if step%10 == 0 {
					system.operate(system.members[step%len(system.members)])
				}
				system.step()
			}
			system.run(time.Second)
			is.Equal(system.refused, 0)
		})
	}
}

package city

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards the load of several groups: it repeats with its seed, and every operation has a result.
func TestUnevenLoadRepeats(t *testing.T) {
	is := is.New(t)
	short := unevenDemand(1)
	short.Span = 2 * time.Second
	first, second := Experiment(short), Experiment(short)
	is.Equal(first.Evenness, second.Evenness)
	is.True(first.Evenness.Reads > 0)
	for index, kind := range first.Kinds {
		is.Equal(kind.Asked, second.Kinds[index].Asked)
		is.Equal(kind.Asked, kind.InTarget+kind.Late+kind.Unserved)
	}
}

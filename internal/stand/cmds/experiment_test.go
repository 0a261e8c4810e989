package cmds

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExperiment(t *testing.T) {
	tests := []struct {
		name     string
		options  experimentOptions
		variants int
		err      string
	}{
		{"one load", experimentOptions{load: "calm", seeds: 1}, 1, ""},
		{"without a mechanism", experimentOptions{load: "calm", seeds: 1, without: []string{"rank"}}, 2, ""},
		{"unknown load", experimentOptions{load: "none", seeds: 1}, 0, `load "none" does not exist`},
		{"unknown mechanism", experimentOptions{load: "calm", seeds: 1, without: []string{"none"}}, 0, `mechanism "none" does not exist`},
		{"no seed", experimentOptions{load: "calm"}, 0, "number of seeds 0 is not positive"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			err := runExperiment(&output, test.options)
			if test.err != "" {
				is.True(err != nil && strings.HasPrefix(err.Error(), test.err))
				return
			}
			is.NoErr(err)
			is.Equal(strings.Count(output.String(), "in target (of"), test.variants)
		})
	}
}

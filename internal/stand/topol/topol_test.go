package topol_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/stand/topol"
)

func TestSitesRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, site := range []topol.Site{topol.Zagreb(), topol.Lakeshore()} {
		spec := site.Spec(topol.NewPortSequence(7001))
		encoded, err := json.Marshal(spec)
		is.NoErr(err)
		parsed, err := topol.Parse(encoded)
		is.NoErr(err)
		is.Equal(parsed, spec)
		is.Equal(len(spec.Groups), 3)
	}
}

func TestParseRejectsInvalid(t *testing.T) {
	group := `{"id":"g","instances":[{"id":"a","address":"127.0.0.1:1","control":"","data_center":"","primary":true}]}`
	cases := []struct {
		name, topology, message string
	}{
		{"unknown field", `{"groups":[],"slots":1,"connections":1,"colour":1}`, "colour"},
		{"no slots", `{"groups":[],"connections":1}`, "slots"},
		{"no primary", `{"groups":[{"id":"g","instances":[]}],"slots":1,"connections":1}`, "primaries"},
		{"duplicate instance", `{"groups":[` + group + `,` + group + `],"slots":1,"connections":1}`, "duplicated"},
		{"delay without unit", `{"groups":[],"slots":1,"connections":1,"open_time":"10"}`, "unit"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := topol.Parse([]byte(c.topology))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.message))
		})
	}
}

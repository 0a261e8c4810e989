package parse_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/parse"
	"almondway.dev/almondway/internal/core/model"
)

const valid = `name: gradski
groups: [katalog-1]
kinds:
  - name: browse
    access: read
    staleness: 5s
callers:
  - name: student
`

func TestContentViolations(t *testing.T) {
	tests := []struct {
		name       string
		file       string
		content    string
		violations []string
	}{
		{name: "valid", content: valid},
		{name: "unknown field", content: valid + "lag: wait\n", violations: []string{"d.yaml:9: lag: unknown field; known are name, revision, groups, kinds, callers, default_kind, lag_policy, weight, max_waiting"}},
		{name: "unknown field of a kind", content: "name: a\ngroups: [g]\ncallers: [{name: c}]\nkinds:\n  - name: k\n    access: read\n    stale: 5s\n", violations: []string{"d.yaml:7: kinds[0].stale: unknown field; known are name, access, staleness, idempotent, group, timeout"}},
		{name: "repeated field", content: valid + "name: again\n", violations: []string{"d.yaml:9: name: duplicated, first in line 1"}},
		{name: "duplicate kind", content: "name: a\ngroups: [g]\ncallers: [{name: c}]\nkinds:\n  - name: k\n    access: read\n  - access: write\n    name: k\n", violations: []string{`d.yaml:8: kinds[1].name: kind "k" is duplicated`}},
		{name: "staleness without unit", content: "name: a\ngroups: [g]\ncallers: [{name: c}]\nkinds:\n  - name: k\n    access: read\n    staleness: 5\n", violations: []string{"d.yaml:7: kinds[0].staleness: 5 has no unit; write it as in 500ms or 5s"}},
		{name: "staleness as text without unit", content: "name: a\ngroups: [g]\ncallers: [{name: c}]\nkinds:\n  - name: k\n    access: read\n    staleness: \"5\"\n", violations: []string{`d.yaml:7: kinds[0].staleness: "5" is not a duration with a unit, as in 500ms or 5s`}},
		{name: "undefined group", content: "name: a\ngroups: [g]\ncallers: [{name: c}]\nkinds:\n  - name: k\n    access: read\n    group: h\n", violations: []string{`d.yaml:7: kinds[0].group: group "h" is not a group of the deployment`}},
		{
			name: "several", content: "name: 5\ngroups: katalog-1\nweight: -1\ncallers:\n  - name: c\n    read_your_writes: yes please\nkinds: []\n",
			violations: []string{"d.yaml:1: name: must be a text", "d.yaml:2: groups: must be a list", "d.yaml:3: weight: must be a whole number of at least 0", "d.yaml:6: callers[0].read_your_writes: must be true or false"},
		},
		{name: "missing fields", content: "name: a\n", violations: []string{"d.yaml:1: groups: the deployment lists no group", "d.yaml:1: kinds: the deployment defines no kind", "d.yaml:1: callers: the deployment defines no class of caller"}},
		{name: "empty", content: "", violations: []string{"d.yaml:1: the file is empty"}},
		{name: "no mapping", content: "- a\n", violations: []string{"d.yaml:1: must be a mapping of fields"}},
		{name: "two documents", content: valid + "---\nname: b\n", violations: []string{"d.yaml:1: the file holds more than one document"}},
		{name: "bad syntax", content: "name: a\n  groups: [\n", violations: []string{"d.yaml:2: yaml: line 2: mapping values are not allowed in this context"}},
		{name: "json", file: "d.json", content: "{\n\t\"name\": \"a\",\n\t\"groups\": [\"g\"],\n\t\"kinds\": [{\"name\": \"k\", \"access\": \"read\", \"staleness\": 5}],\n\t\"callers\": [{\"name\": \"c\"}]\n}", violations: []string{"d.json:4: kinds[0].staleness: 5 has no unit; write it as in 500ms or 5s"}},
		{name: "json syntax", file: "d.json", content: "{\n\"name\": a\n}", violations: []string{"d.json:2: invalid character 'a' looking for beginning of value"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			file := test.file
			if file == "" {
				file = "d.yaml"
			}
			_, err := parse.Content(file, []byte(test.content))
			var fileErrors parse.FileErrors
			if !errors.As(err, &fileErrors) {
				is.NoErr(err)
			}
			var violations []string
			for _, violation := range fileErrors {
				violations = append(violations, violation.String())
			}
			is.Equal(violations, test.violations)
		})
	}
}

// The example files are valid, and encoding them as JSON and parsing that gives the same deployment.
func TestExamples(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../../examples/*.yaml")
	is.NoErr(err)
	is.True(len(paths) >= 2)
	for _, path := range paths {
		deployment, err := parse.File(path)
		is.NoErr(err)
		encoded, err := model.EncodeDeployment(deployment)
		is.NoErr(err)
		again, err := parse.Content("d.json", encoded)
		is.NoErr(err)
		is.Equal(again, deployment)
	}
}

func TestFileTooLarge(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "d.yaml")
	is.NoErr(os.WriteFile(path, make([]byte, 2<<20), 0o600))
	_, err := parse.File(path)
	is.True(err != nil)
}

func TestContent(t *testing.T) {
	is := is.New(t)
	deployment, err := parse.Content("d.yaml", []byte(valid+"revision: 7\n"))
	is.NoErr(err)
	is.Equal(deployment.Revision(), uint64(7))
	kind, ok := deployment.Kind("browse")
	is.True(ok)
	is.Equal(kind.Staleness(), 5*time.Second)
}

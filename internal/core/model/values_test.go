package model

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/proof/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 0, 0) }

func drawMark(t *rapid.T) Mark {
	term := NewTerm(rapid.Uint64Range(0, 3).Draw(t, "count"), rapid.Uint32Range(0, 2).Draw(t, "promoter"))
	return NewMark(term, Position(rapid.Uint64Range(0, 3).Draw(t, "position")))
}

func TestMarksAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left, right, third := drawMark(t), drawMark(t), drawMark(t)
		if !left.Covers(right) && !right.Covers(left) {
			t.Fatalf("neither of marks %s and %s covers the other", left, right)
		}
		if left.Covers(right) && right.Covers(left) && left != right {
			t.Fatalf("distinct marks %s and %s cover each other", left, right)
		}
		if left.Covers(right) && right.Covers(third) && !left.Covers(third) {
			t.Fatalf("not transitive: %s covers %s, which covers %s", left, right, third)
		}
		parsed, err := ParseMark(left.String())
		if err != nil || parsed != left {
			t.Fatalf("parse mark %s: got %s, error %v", left, parsed, err)
		}
	})
}

func TestTokenKeepsNewestMarks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var token Token
		newest := make(map[GroupID]Mark)
		for range rapid.IntRange(0, 8).Draw(t, "steps") {
			group := GroupID(rapid.SampledFrom([]string{"katalog-1", "katalog-2", "breakfast-1"}).Draw(t, "group"))
			mark := drawMark(t)
			token = token.With(group, mark)
			if mark.Covers(newest[group]) {
				newest[group] = mark
			}
		}
		parsed, err := ParseToken(token.String())
		if err != nil {
			t.Fatalf("parse %q: %v", token, err)
		}
		for group, mark := range newest {
			if token.Mark(group) != mark || parsed.Mark(group) != mark {
				t.Fatalf("token %q: got mark %s, after parsing %s, for group %s; want %s", token, token.Mark(group), parsed.Mark(group), group, mark)
			}
		}
	})
}

func TestParseTokenRejectsMalformed(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"no version", "katalog-1=1/2"},
		{"no mark", "v1,katalog-1"},
		{"no group", "v1,=1/2"},
		{"no position", "v1,katalog-1=1"},
		{"term is not a number", "v1,katalog-1=x/2"},
		{"negative position", "v1,katalog-1=1/-2"},
		{"too long", "v1," + strings.Repeat("x", maxTokenBytes) + "=1/2"},
		{"too many groups", "v1" + strings.Repeat(",g=1/2", maxTokenGroups+1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseToken(test.text)
			is.True(err != nil)
		})
	}
}

func validSpec() DeploymentSpec {
	return DeploymentSpec{
		Name:   "gradski",
		Groups: []GroupID{"katalog-1", "katalog-2"},
		Kinds: []Kind{
			NewKind(KindSpec{Name: "browse", Access: AccessRead, Staleness: 5 * time.Second, Timeout: time.Second}),
			NewKind(KindSpec{Name: "edit_listing", Access: AccessWrite, Group: "katalog-2"}),
		},
		Classes:     []CallerClass{NewCallerClass(CallerClassSpec{Name: "registrar", ReadYourWrites: true, MaxConcurrent: 4})},
		DefaultKind: "browse",
		LagPolicy:   LagWait,
		Weight:      2,
		MaxWaiting:  100,
	}
}

func TestDeploymentJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	spec := validSpec()
	spec.Revision = 7
	encoded, err := EncodeDeployment(NewDeployment(spec))
	is.NoErr(err)
	decoded, err := DecodeDeployment(encoded)
	is.NoErr(err)
	is.Equal(decoded, NewDeployment(spec))
	for _, malformed := range []string{`"staleness":"5"`, `"staleness":5`, `"unknown":1`} {
		_, err = DecodeDeployment([]byte(strings.Replace(string(encoded), `"staleness":"5s"`, malformed, 1)))
		is.True(err != nil) // malformed JSON is rejected
	}
}

func TestValidate(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(spec *DeploymentSpec)
		field   string
	}{
		{"valid", func(*DeploymentSpec) {}, ""},
		{"invalid name", func(spec *DeploymentSpec) { spec.Name = "Gradski" }, "name"},
		{"no group", func(spec *DeploymentSpec) {
			spec.Groups = nil
			spec.Kinds = spec.Kinds[:1]
		}, "groups"},
		{"duplicate group", func(spec *DeploymentSpec) { spec.Groups = append(spec.Groups, "katalog-1") }, "groups[2]"},
		{"unknown lag policy", func(spec *DeploymentSpec) { spec.LagPolicy = "hope" }, "lag_policy"},
		{"undefined default kind", func(spec *DeploymentSpec) { spec.DefaultKind = "none" }, "default_kind"},
		{"negative weight", func(spec *DeploymentSpec) { spec.Weight = -1 }, "weight"},
		{"duplicate kind", func(spec *DeploymentSpec) { spec.Kinds = append(spec.Kinds, spec.Kinds[0]) }, "kinds[2].name"},
		{"staleness on a write kind", func(spec *DeploymentSpec) {
			spec.Kinds[1] = NewKind(KindSpec{Name: "edit_listing", Access: AccessWrite, Staleness: time.Second})
		}, "kinds[1].staleness"},
		{"unknown access", func(spec *DeploymentSpec) { spec.Kinds[0] = NewKind(KindSpec{Name: "browse", Access: "look"}) }, "kinds[0].access"},
		{"group of another deployment", func(spec *DeploymentSpec) {
			spec.Kinds[0] = NewKind(KindSpec{Name: "browse", Access: AccessRead, Group: "breakfast-1"})
		}, "kinds[0].group"},
		{"timeout too long", func(spec *DeploymentSpec) {
			spec.Kinds[0] = NewKind(KindSpec{Name: "browse", Access: AccessRead, Timeout: time.Hour})
		}, "kinds[0].timeout"},
		{"no class", func(spec *DeploymentSpec) { spec.Classes = nil }, "callers"},
		{"duplicate class", func(spec *DeploymentSpec) { spec.Classes = append(spec.Classes, spec.Classes[0]) }, "callers[1].name"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			spec := validSpec()
			test.corrupt(&spec)
			errs := Validate(NewDeployment(spec))
			if test.field == "" {
				is.Equal(len(errs), 0)
				return
			}
			is.Equal(len(errs), 1)
			is.True(strings.HasPrefix(errs[0].Error(), test.field))
		})
	}
}

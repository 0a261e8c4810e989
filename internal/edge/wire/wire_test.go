package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

func TestStatements(t *testing.T) {
	term := model.NewTerm(2, 3)
	tests := []struct {
		name string
		sql  string
		want string
	}{
		{"begin", Begin(term, "id", 18446744073709551615), "SELECT almondway_begin('33554435', 'id', '18446744073709551615')"},
		{"begin with a quote", Begin(term, "'); DROP TABLE kv --", 1), "SELECT almondway_begin('33554435', '''); DROP TABLE kv --', '1')"},
		{"settle", Settle(term, "id"), "SELECT almondway_settle('33554435', 'id')"},
		{"trim", Trim(term, "id"), "SELECT almondway_trim('33554435', 'id')"},
		{"follow", Follow(term, "o'clock", "127.0.0.1:1"), "SELECT * FROM platform_follow('33554435', 'o''clock', '127.0.0.1:1')"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(test.sql, test.want)
		})
	}
}

func TestParseStatus(t *testing.T) {
	row := func(texts ...string) [][]byte {
		var values [][]byte
		for _, text := range texts {
			values = append(values, []byte(text))
		}
		return values
	}
	tests := []struct {
		name     string
		row      [][]byte
		status   model.Status
		accepted bool
		valid    bool
	}{
		{
			"replica", row("t", "7", "replica", "5", "9", "katalog-1-a", "1500", "t"),
			model.NewStatus(7, model.RoleReplica, model.NewMark(5, 9), "katalog-1-a", 1500*time.Microsecond, true), true, true,
		},
		{
			"primary that refused", row("f", "7", "primary", "7", "9", "", "0", "f"),
			model.NewStatus(7, model.RolePrimary, model.NewMark(7, 9), "", 0, false), false, true,
		},
		{"short row", row("t", "7"), model.Status{}, false, false},
		{"bad fence", row("t", "x", "replica", "5", "9", "", "0", "f"), model.Status{}, false, false},
		{"bad tail", row("t", "7", "replica", "5", "", "", "0", "f"), model.Status{}, false, false},
		{"bad silence", row("t", "7", "replica", "5", "9", "", "soon", "f"), model.Status{}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, accepted, err := ParseStatus(test.row)
			is.Equal(err == nil, test.valid)
			is.Equal(status, test.status)
			is.Equal(accepted, test.accepted)
		})
	}
}

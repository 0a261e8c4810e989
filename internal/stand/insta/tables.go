package insta

import (
	"maps"
	"slices"
	"strings"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

const (
	tableKV     = "kv"
	tableLedger = "almondway_ledger"
)

// tables holds the committed values by table and key.
type tables struct {
	rows map[string]map[string]string
}

func newTables() *tables {
	return &tables{rows: map[string]map[string]string{tableKV: {}, tableLedger: {}}}
}

func (tables *tables) get(table, key string) (string, bool) {
	value, ok := tables.rows[table][key]
	return value, ok
}

// keys returns the keys of a table that start with prefix, in ascending order.
func (tables *tables) keys(table, prefix string) []string {
	var found []string
	for key := range maps.Keys(tables.rows[table]) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	slices.Sort(found)
	return found
}

// apply applies the writes of an entry and ignores those of unknown tables.
func (tables *tables) apply(entry *ctrlpb.Entry) {
	for _, write := range entry.GetWrites() {
		table := tables.rows[write.GetTable()]
		if table == nil {
			continue
		}
		if write.GetDelete() {
			delete(table, write.GetKey())
		} else {
			table[write.GetKey()] = write.GetValue()
		}
	}
}

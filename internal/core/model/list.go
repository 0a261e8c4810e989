package model

// ListName is the name of a list that the platform keeps as a table of its store.
type ListName string

// The lists that a proxy follows.
const (
	ListConfiguration ListName = "configuration"
	ListInstances     ListName = "instances"
	// ListLenders is kept by the proxies themselves: which of them lend the tokens of the teams.
	ListLenders ListName = "lenders"
)

// ListNames returns the names of all lists.
func ListNames() []ListName { return []ListName{ListConfiguration, ListInstances, ListLenders} }

// ListRow is a row of a list, with a value in the format of the platform. It is immutable.
type ListRow struct {
	key     string
	version uint64
	value   []byte
	deleted bool
}

// NewListRow returns the ListRow that was written by the transaction of the given version.
func NewListRow(key string, version uint64, value []byte) ListRow {
	return ListRow{key: key, version: version, value: value}
}

// NewDeletedListRow returns the ListRow of a row that the transaction of the given version deleted.
func NewDeletedListRow(key string, version uint64) ListRow {
	return ListRow{key: key, version: version, deleted: true}
}

// Key returns the key of the row.
func (row ListRow) Key() string { return row.key }

// Version returns the version of the store's transaction that last changed the row.
func (row ListRow) Version() uint64 { return row.version }

// Value returns the value. The slice must not be modified.
func (row ListRow) Value() []byte { return row.value }

// Deleted reports whether the row was deleted.
func (row ListRow) Deleted() bool { return row.deleted }

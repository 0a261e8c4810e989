package model

// Row is a row of a table in the platform's store.
type Row struct {
	key     string
	version uint64
	value   []byte
}

// NewRow returns a Row.
func NewRow(key string, version uint64, value []byte) Row {
	return Row{
		key:     key,
		version: version,
		value:   value,
	}
}

// Key returns the primary key.
func (row Row) Key() string { return row.key }

// Version identifies the last write to the row within the era of the store.
func (row Row) Version() uint64 { return row.version }

// Value returns the value. The slice must not be modified.
func (row Row) Value() []byte { return row.value }

// RowWrite is a conditional write to a row as part of a store transaction.
type RowWrite struct {
	table           string
	key             string
	expectedVersion uint64
	value           []byte
}

// NewRowWrite returns a RowWrite that applies if the row has the expected version.
func NewRowWrite(table string, key string, expectedVersion uint64, value []byte) RowWrite {
	return RowWrite{
		table:           table,
		key:             key,
		expectedVersion: expectedVersion,
		value:           value,
	}
}

// Table returns the name of the table.
func (rowWrite RowWrite) Table() string { return rowWrite.table }

// Key returns the primary key.
func (rowWrite RowWrite) Key() string { return rowWrite.key }

// ExpectedVersion returns the version that the row must have; 0 means that the row must not exist.
func (rowWrite RowWrite) ExpectedVersion() uint64 { return rowWrite.expectedVersion }

// Value returns the new value, or nil to delete the row.
func (rowWrite RowWrite) Value() []byte { return rowWrite.value }

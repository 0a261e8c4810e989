package writes

import "time"

const trimInterval = time.Minute

// trim deletes the ledger rows that are beyond the retention time.
func (writes *Writes) trim() {}

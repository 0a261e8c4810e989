package elect

import (
	"strconv"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// pastEras is what a proxy knows of the lease in the eras before the present one of the store.
// The store lacks what was written there last.
type pastEras struct {
	// row is the newest known row, from the memory of this proxy or from the copy from which
	// the store was restored.
	row leaseRow
	era model.StoreEra // of row
	// outdated are the rows of earlier eras in the store. They are deleted by the first holder
	// of this era.
	outdated []model.Row
	// endedAt is the time at which this proxy first knew that the last era has ended.
	endedAt time.Duration
	// knowsAll is set if no lease of an earlier era can have a holder or an order that this
	// proxy does not know: it held the lease itself when it learned that the era has ended, or
	// there was no earlier era.
	knowsAll bool
}

// addRow records the row of an earlier era from the store.
func (past *pastEras) addRow(found model.Row, decoded leaseRow) {
	past.outdated = append(past.outdated, found)
	past.addKnown(decoded, keyEra(found.Key()))
}

func (past *pastEras) addKnown(row leaseRow, era model.StoreEra) {
	if era > past.era || era == past.era && row.Beat > past.row.Beat {
		past.row, past.era = row, era
	}
}

// endEra records at the given time that an era has ended whose row, as far as known, was row.
func (past *pastEras) endEra(row leaseRow, era model.StoreEra, heldLease bool, now time.Duration) {
	past.addKnown(row, era)
	past.outdated = nil
	past.endedAt = now
	past.knowsAll = heldLease
}

// eraKey returns the key of the lease's row in an era of the store.
func eraKey(era model.StoreEra) string {
	if era == 0 {
		return leaseKey
	}
	return leaseKey + "/" + strconv.FormatUint(uint64(era), 10)
}

// keyEra returns the era of the store to which a key of the lease's row belongs. A key without
// one counts as that of the first era.
func keyEra(key string) model.StoreEra {
	era, err := strconv.ParseUint(strings.TrimPrefix(key, leaseKey+"/"), 10, 64)
	if err != nil {
		return 0
	}
	return model.StoreEra(era)
}

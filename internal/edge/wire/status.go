package wire

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
)

const (
	textTrue    = "t"
	rolePrimary = "primary"
)

// ParseStatus parses a status row in text form. accepted reports whether the
// instance accepted the order that the row answers.
func ParseStatus(row [][]byte) (status model.Status, accepted bool, err error) {
	if len(row) != StatusColumnCount {
		return model.Status{}, false, errors.Errorf("status row has %d columns, expected %d", len(row), StatusColumnCount)
	}
	fence, err := strconv.ParseUint(string(row[StatusFence]), 10, 64)
	if err != nil {
		return model.Status{}, false, errors.Wrap(err, "parse fence of status row")
	}
	tail, err := model.ParseMark(string(row[StatusTailTerm]) + "/" + string(row[StatusTailPosition]))
	if err != nil {
		return model.Status{}, false, errors.Wrap(err, "parse tail of status row")
	}
	silence, err := strconv.ParseInt(string(row[StatusSilence]), 10, 64)
	if err != nil {
		return model.Status{}, false, errors.Wrap(err, "parse silence of status row")
	}
	role := model.RoleReplica
	if string(row[StatusRole]) == rolePrimary {
		role = model.RolePrimary
	}
	status = model.NewStatus(
		model.Term(fence),
		role,
		tail,
		model.InstanceID(row[StatusUpstream]),
		time.Duration(silence)*time.Microsecond,
		string(row[StatusLeaving]) == textTrue,
	)
	return status, string(row[StatusAccepted]) == textTrue, nil
}

package sessn

import (
	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// separator stands between group and key.
const separator = "\x00"

// selectGroup returns the group that the request names, that its kind names,
// that its key selects, or the only one there is. Within a transaction it must
// be the transaction's group.
func selectGroup(deployment *model.Deployment, kind model.Kind, request *model.Request, tx *route.Tx) (model.GroupID, refusal) {
	group := namedGroup(deployment, kind, request)
	if group != "" && !deployment.HasGroup(group) {
		return "", refusal{codes.UnknownGroup, string(group)}
	}
	if tx != nil {
		if group != "" && group != tx.Group() {
			return "", refusal{codes.KindMismatch, "the transaction belongs to group " + string(tx.Group())}
		}
		return tx.Group(), refusal{}
	}
	if group == "" && request.Op() == model.OpDescribe {
		return deployment.Groups()[0], refusal{}
	}
	if group == "" {
		return "", refusal{codes.UnknownGroup, "the request names no group and no key"}
	}
	return group, refusal{}
}

func namedGroup(deployment *model.Deployment, kind model.Kind, request *model.Request) model.GroupID {
	switch {
	case request.Group() != "":
		return request.Group()
	case kind.Group() != "":
		return kind.Group()
	case request.Key() != "":
		return rendezvous(deployment.Groups(), request.Key())
	case len(deployment.Groups()) == 1:
		return deployment.Groups()[0]
	default:
		return ""
	}
}

// rendezvous returns the group whose hash with the key is highest, so that a
// further group takes over its share of the keys and moves no others.
func rendezvous(groups []model.GroupID, key string) model.GroupID {
	var selected model.GroupID
	var highest uint64
	for index, group := range groups {
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.WriteString(string(group))
		_, _ = digest.WriteString(separator)
		_, _ = digest.WriteString(key)
		if sum := digest.Sum64(); index == 0 || sum > highest {
			selected, highest = group, sum
		}
	}
	return selected
}

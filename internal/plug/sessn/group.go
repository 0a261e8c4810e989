package sessn

import (
	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// separator separates group and key in the hash input.
const separator = "\x00"

// selectGroup returns the group of a request: the group that the request names, the group
// of its kind, the group that its key selects, or the only group of the deployment, in this
// order. Within a transaction it must be the transaction's group. A describe request
// without a group gets the first group of the deployment.
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

// rendezvous selects a group by rendezvous hashing: the group with the highest hash of
// group and key. A group that is added takes over its share of the keys, and all other keys
// keep their group.
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

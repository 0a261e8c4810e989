package cli

import (
	"fmt"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// difference is a field of a deployment that changes. An empty text stands for
// a field that is not there.
type difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns one line, as in "~ kinds.browse.staleness: 5s -> 10s".
func (difference difference) String() string {
	switch {
	case difference.Before == "":
		return fmt.Sprintf("+ %s: %s", difference.Field, difference.After)
	case difference.After == "":
		return fmt.Sprintf("- %s: %s", difference.Field, difference.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", difference.Field, difference.Before, difference.After)
	}
}

// compare returns what changes from before, which may be nil, to after. The
// revision does not count.
func compare(before, after *model.Deployment) []difference {
	old, current := flatten(before), flatten(after)
	var differences []difference
	for _, field := range current.order {
		if old.values[field] != current.values[field] {
			differences = append(differences, difference{Field: field, Before: old.values[field], After: current.values[field]})
		}
	}
	for _, field := range old.order {
		if _, ok := current.values[field]; !ok {
			differences = append(differences, difference{Field: field, Before: old.values[field]})
		}
	}
	return differences
}

// flat holds the fields of a deployment by path.
type flat struct {
	order  []string
	values map[string]string
}

func (flat *flat) add(field, value string) {
	flat.order = append(flat.order, field)
	flat.values[field] = value
}

func flatten(deployment *model.Deployment) *flat {
	flat := &flat{values: make(map[string]string)}
	if deployment == nil {
		return flat
	}
	flat.add("groups", groupList(deployment))
	flat.add("lag_policy", orDefault(string(deployment.LagPolicy())))
	flat.add("default_kind", orDefault(deployment.DefaultKind()))
	flat.add("weight", fmt.Sprint(deployment.Weight()))
	flat.add("max_waiting", fmt.Sprint(deployment.MaxWaiting()))
	for _, kind := range deployment.Kinds() {
		path := "kinds." + kind.Name()
		flat.add(path+".access", string(kind.Access()))
		flat.add(path+".staleness", durationText(kind.Staleness(), "fresh"))
		flat.add(path+".idempotent", yesNo(kind.Idempotent()))
		flat.add(path+".group", orDefault(string(kind.Group())))
		flat.add(path+".timeout", durationText(kind.Timeout(), "default"))
	}
	for _, class := range deployment.Classes() {
		path := "callers." + class.Name()
		flat.add(path+".read_your_writes", yesNo(class.ReadYourWrites()))
		flat.add(path+".max_concurrent", fmt.Sprint(class.MaxConcurrent()))
	}
	return flat
}

func groupList(deployment *model.Deployment) string {
	names := make([]string, 0, len(deployment.Groups()))
	for _, group := range deployment.Groups() {
		names = append(names, string(group))
	}
	return strings.Join(names, ",")
}

func orDefault(text string) string {
	if text == "" {
		return "default"
	}
	return text
}

func durationText(duration time.Duration, zero string) string {
	if duration == 0 {
		return zero
	}
	return duration.String()
}

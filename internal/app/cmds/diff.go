package cmds

import (
	"fmt"
	"strings"

	"almondway.dev/almondway/internal/core/model"
)

// difference is a field that differs between two versions of a deployment. An
// empty Before or After means that the field is absent.
type difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the difference as one line, as in "~ weight: 1 -> 2".
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

// diffDeployments returns the fields that differ between before, which may be
// nil, and after. It ignores the revision.
func diffDeployments(before, after *model.Deployment) []difference {
	old, current := flatten(before), flatten(after)
	var differences []difference
	for _, field := range current.paths {
		if old.values[field] != current.values[field] {
			differences = append(differences, difference{Field: field, Before: old.values[field], After: current.values[field]})
		}
	}
	for _, field := range old.paths {
		if _, ok := current.values[field]; !ok {
			differences = append(differences, difference{Field: field, Before: old.values[field]})
		}
	}
	return differences
}

// flatDeployment holds the formatted fields of a deployment by path. paths keeps their order.
type flatDeployment struct {
	paths  []string
	values map[string]string
}

func (flatDeployment *flatDeployment) add(field, value string) {
	flatDeployment.paths = append(flatDeployment.paths, field)
	flatDeployment.values[field] = value
}

func flatten(deployment *model.Deployment) *flatDeployment {
	flat := &flatDeployment{values: make(map[string]string)}
	if deployment == nil {
		return flat
	}
	flat.add("groups", formatGroups(deployment))
	flat.add("lag_policy", orDefault(string(deployment.LagPolicy())))
	flat.add("default_kind", orDefault(deployment.DefaultKind()))
	flat.add("weight", fmt.Sprint(deployment.Weight()))
	flat.add("max_waiting", fmt.Sprint(deployment.MaxWaiting()))
	for _, kind := range deployment.Kinds() {
		flat.add("kinds."+kind.Name(), formatKind(kind))
	}
	for _, class := range deployment.Classes() {
		flat.add("callers."+class.Name(), formatCallerClass(class))
	}
	return flat
}

func formatKind(kind model.Kind) string {
	words := []string{string(kind.Access())}
	switch {
	case kind.Access() == model.AccessRead && kind.Staleness() == 0:
		words = append(words, "fresh")
	case kind.Access() == model.AccessRead:
		words = append(words, "staleness="+kind.Staleness().String())
	case kind.Idempotent():
		words = append(words, "idempotent")
	default:
		words = append(words, "at_most_once")
	}
	if kind.Group() != "" {
		words = append(words, "group="+string(kind.Group()))
	}
	if kind.Timeout() != 0 {
		words = append(words, "timeout="+kind.Timeout().String())
	}
	return strings.Join(words, " ")
}

func formatCallerClass(class model.CallerClass) string {
	words := []string{"read_your_writes=" + yesNo(class.ReadYourWrites())}
	if class.MaxConcurrent() != 0 {
		words = append(words, fmt.Sprintf("max_concurrent=%d", class.MaxConcurrent()))
	}
	return strings.Join(words, " ")
}

func formatGroups(deployment *model.Deployment) string {
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

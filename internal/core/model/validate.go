package model

import (
	"regexp"
	"time"

	"github.com/pkg/errors"
)

const maxKindTimeout = time.Minute

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// Validate returns every fault of a Deployment, each naming its field.
func Validate(deployment *Deployment) []error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, errors.Errorf(format, args...)) }
	spec := deployment.spec
	if !namePattern.MatchString(spec.Name) {
		fault("name: %q does not match %s", spec.Name, namePattern)
	}
	if len(spec.Groups) == 0 {
		fault("groups: the deployment names no group")
	}
	if spec.LagPolicy != "" && spec.LagPolicy != LagWait && spec.LagPolicy != LagPrimary {
		fault("lag_policy: %q is neither %q nor %q", spec.LagPolicy, LagWait, LagPrimary)
	}
	if spec.DefaultKind != "" {
		if _, ok := deployment.Kind(spec.DefaultKind); !ok {
			fault("default_kind: kind %q is not defined", spec.DefaultKind)
		}
	}
	if spec.Weight < 0 || spec.MaxWaiting < 0 {
		fault("weight, max_waiting: must not be negative")
	}
	faults = append(faults, validateGroups(spec.Groups)...)
	faults = append(faults, validateKinds(deployment)...)
	return append(faults, validateCallerClasses(spec.Classes)...)
}

func validateGroups(groups []GroupID) []error {
	var faults []error
	seen := make(map[GroupID]bool, len(groups))
	for index, group := range groups {
		if group == "" || seen[group] {
			faults = append(faults, errors.Errorf("groups[%d]: %q is empty or stands twice", index, group))
		}
		seen[group] = true
	}
	return faults
}

func validateKinds(deployment *Deployment) []error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, errors.Errorf(format, args...)) }
	if len(deployment.spec.Kinds) == 0 {
		fault("kinds: the deployment defines no kind")
	}
	seen := make(map[string]bool, len(deployment.spec.Kinds))
	for index, kind := range deployment.spec.Kinds {
		if !namePattern.MatchString(kind.Name()) {
			fault("kinds[%d].name: %q does not match %s", index, kind.Name(), namePattern)
		}
		if seen[kind.Name()] {
			fault("kinds[%d].name: kind %q stands twice", index, kind.Name())
		}
		seen[kind.Name()] = true
		if kind.Access() != AccessRead && kind.Access() != AccessWrite {
			fault("kinds[%d].access: %q is neither %q nor %q", index, kind.Access(), AccessRead, AccessWrite)
		}
		if kind.Staleness() < 0 || (kind.Staleness() > 0 && kind.Access() == AccessWrite) {
			fault("kinds[%d].staleness: must be positive and belongs to a read", index)
		}
		if kind.Timeout() < 0 || kind.Timeout() > maxKindTimeout {
			fault("kinds[%d].timeout: %s is not between 0 and %s", index, kind.Timeout(), maxKindTimeout)
		}
		if kind.Group() != "" && !deployment.HasGroup(kind.Group()) {
			fault("kinds[%d].group: group %q is not one of the deployment's", index, kind.Group())
		}
	}
	return faults
}

func validateCallerClasses(classes []CallerClass) []error {
	var faults []error
	if len(classes) == 0 {
		faults = append(faults, errors.New("callers: the deployment defines no class of caller"))
	}
	seen := make(map[string]bool, len(classes))
	for index, class := range classes {
		if !namePattern.MatchString(class.Name()) || seen[class.Name()] {
			faults = append(faults, errors.Errorf("callers[%d].name: %q does not match %s or stands twice", index, class.Name(), namePattern))
		}
		seen[class.Name()] = true
		if class.MaxConcurrent() < 0 {
			faults = append(faults, errors.Errorf("callers[%d].max_concurrent: must not be negative", index))
		}
	}
	return faults
}

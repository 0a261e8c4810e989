package model

import (
	"regexp"
	"time"

	"github.com/pkg/errors"
)

const maxKindTimeout = time.Minute

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// Validate returns all errors in a Deployment. Each message starts with the path
// of the field that is invalid.
func Validate(deployment *Deployment) []error {
	var errs []error
	addErr := func(format string, args ...any) { errs = append(errs, errors.Errorf(format, args...)) }
	spec := deployment.spec
	if !namePattern.MatchString(spec.Name) {
		addErr("name: %q does not match %s", spec.Name, namePattern)
	}
	if len(spec.Groups) == 0 {
		addErr("groups: the deployment lists no group")
	}
	if spec.LagPolicy != "" && spec.LagPolicy != LagWait && spec.LagPolicy != LagPrimary {
		addErr("lag_policy: %q is neither %q nor %q", spec.LagPolicy, LagWait, LagPrimary)
	}
	if spec.DefaultKind != "" {
		if _, ok := deployment.Kind(spec.DefaultKind); !ok {
			addErr("default_kind: kind %q is not defined", spec.DefaultKind)
		}
	}
	if spec.Weight < 0 || spec.MaxWaiting < 0 {
		addErr("weight, max_waiting: must not be negative")
	}
	errs = append(errs, validateGroups(spec.Groups)...)
	errs = append(errs, validateKinds(deployment)...)
	return append(errs, validateCallerClasses(spec.Classes)...)
}

func validateGroups(groups []GroupID) []error {
	var errs []error
	seen := make(map[GroupID]bool, len(groups))
	for index, group := range groups {
		if group == "" || seen[group] {
			errs = append(errs, errors.Errorf("groups[%d]: %q is empty or duplicated", index, group))
		}
		seen[group] = true
	}
	return errs
}

func validateKinds(deployment *Deployment) []error {
	var errs []error
	addErr := func(format string, args ...any) { errs = append(errs, errors.Errorf(format, args...)) }
	if len(deployment.spec.Kinds) == 0 {
		addErr("kinds: the deployment defines no kind")
	}
	seen := make(map[string]bool, len(deployment.spec.Kinds))
	for index, kind := range deployment.spec.Kinds {
		if !namePattern.MatchString(kind.Name()) {
			addErr("kinds[%d].name: %q does not match %s", index, kind.Name(), namePattern)
		}
		if seen[kind.Name()] {
			addErr("kinds[%d].name: kind %q is duplicated", index, kind.Name())
		}
		seen[kind.Name()] = true
		if kind.Access() != AccessRead && kind.Access() != AccessWrite {
			addErr("kinds[%d].access: %q is neither %q nor %q", index, kind.Access(), AccessRead, AccessWrite)
		}
		if kind.Staleness() < 0 || (kind.Staleness() > 0 && kind.Access() == AccessWrite) {
			addErr("kinds[%d].staleness: must not be negative and must not be set for a kind with write access", index)
		}
		if kind.Timeout() < 0 || kind.Timeout() > maxKindTimeout {
			addErr("kinds[%d].timeout: %s is not between 0 and %s", index, kind.Timeout(), maxKindTimeout)
		}
		if kind.Group() != "" && !deployment.HasGroup(kind.Group()) {
			addErr("kinds[%d].group: group %q is not a group of the deployment", index, kind.Group())
		}
	}
	return errs
}

func validateCallerClasses(classes []CallerClass) []error {
	var errs []error
	if len(classes) == 0 {
		errs = append(errs, errors.New("callers: the deployment defines no class of caller"))
	}
	seen := make(map[string]bool, len(classes))
	for index, class := range classes {
		if !namePattern.MatchString(class.Name()) || seen[class.Name()] {
			errs = append(errs, errors.Errorf("callers[%d].name: %q does not match %s or is duplicated", index, class.Name(), namePattern))
		}
		seen[class.Name()] = true
		if class.MaxConcurrent() < 0 {
			errs = append(errs, errors.Errorf("callers[%d].max_concurrent: must not be negative", index))
		}
	}
	return errs
}

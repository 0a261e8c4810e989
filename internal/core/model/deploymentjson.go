package model

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

type kindRecord struct {
	Name       string  `json:"name"`
	Access     Access  `json:"access"`
	Staleness  string  `json:"staleness,omitempty"`
	Idempotent bool    `json:"idempotent,omitempty"`
	Group      GroupID `json:"group,omitempty"`
	Timeout    string  `json:"timeout,omitempty"`
}

type callerClassRecord struct {
	Name           string `json:"name"`
	ReadYourWrites bool   `json:"read_your_writes,omitempty"`
	MaxConcurrent  int    `json:"max_concurrent,omitempty"`
}

type deploymentRecord struct {
	Name        string              `json:"name"`
	Revision    uint64              `json:"revision,omitempty"`
	Groups      []GroupID           `json:"groups"`
	Kinds       []kindRecord        `json:"kinds"`
	Classes     []callerClassRecord `json:"callers"`
	DefaultKind string              `json:"default_kind,omitempty"`
	LagPolicy   LagPolicy           `json:"lag_policy,omitempty"`
	Weight      int                 `json:"weight,omitempty"`
	MaxWaiting  int                 `json:"max_waiting,omitempty"`
}

// EncodeDeployment returns the JSON encoding of a Deployment. Field names are in
// snake case and durations have the form "1.5s".
func EncodeDeployment(deployment *Deployment) ([]byte, error) {
	spec := deployment.spec
	record := deploymentRecord{
		Name:        spec.Name,
		Revision:    spec.Revision,
		Groups:      spec.Groups,
		DefaultKind: spec.DefaultKind,
		LagPolicy:   spec.LagPolicy,
		Weight:      spec.Weight,
		MaxWaiting:  spec.MaxWaiting,
	}
	for _, kind := range spec.Kinds {
		record.Kinds = append(record.Kinds, kindRecord{
			Name:       kind.spec.Name,
			Access:     kind.spec.Access,
			Staleness:  formatDuration(kind.spec.Staleness),
			Idempotent: kind.spec.Idempotent,
			Group:      kind.spec.Group,
			Timeout:    formatDuration(kind.spec.Timeout),
		})
	}
	for _, class := range spec.Classes {
		record.Classes = append(record.Classes, callerClassRecord(class.spec))
	}
	encoded, err := json.Marshal(record)
	return encoded, errors.Wrapf(err, "encode deployment %q", spec.Name)
}

// DecodeDeployment parses the JSON encoding that EncodeDeployment returns. It
// rejects unknown fields and durations without a unit. It does not validate the
// values; see Validate.
func DecodeDeployment(encoded []byte) (*Deployment, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var record deploymentRecord
	if err := decoder.Decode(&record); err != nil {
		return nil, errors.Wrap(err, "decode deployment")
	}
	spec := DeploymentSpec{
		Name:        record.Name,
		Revision:    record.Revision,
		Groups:      record.Groups,
		DefaultKind: record.DefaultKind,
		LagPolicy:   record.LagPolicy,
		Weight:      record.Weight,
		MaxWaiting:  record.MaxWaiting,
	}
	for _, kind := range record.Kinds {
		decoded, err := decodeKind(kind)
		if err != nil {
			return nil, errors.Wrapf(err, "decode deployment %q", record.Name)
		}
		spec.Kinds = append(spec.Kinds, decoded)
	}
	for _, class := range record.Classes {
		spec.Classes = append(spec.Classes, NewCallerClass(CallerClassSpec(class)))
	}
	return NewDeployment(spec), nil
}

func decodeKind(record kindRecord) (Kind, error) {
	staleness, err := parseDuration(record.Staleness)
	if err != nil {
		return Kind{}, errors.Wrapf(err, "parse staleness of kind %q", record.Name)
	}
	timeout, err := parseDuration(record.Timeout)
	if err != nil {
		return Kind{}, errors.Wrapf(err, "parse timeout of kind %q", record.Name)
	}
	return NewKind(KindSpec{
		Name:       record.Name,
		Access:     record.Access,
		Staleness:  staleness,
		Idempotent: record.Idempotent,
		Group:      record.Group,
		Timeout:    timeout,
	}), nil
}

func formatDuration(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.String()
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

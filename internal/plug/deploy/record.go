package deploy

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
)

// The catalog table has a head row with the revision, a row for each deployment, and two
// rows for each change: one with its change ID as key and one in the history of its
// deployment.
const (
	catalogTable     = "catalog"
	headKey          = "head"
	deploymentPrefix = "deployment/"
	changePrefix     = "change/"
	historyPrefix    = "history/"
)

// headRecord is the value of the head row.
type headRecord struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"change_id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// changeRecord is the value of a change row or a history row.
type changeRecord struct {
	Revision   uint64          `json:"revision"`
	Name       string          `json:"name"`
	ChangeID   string          `json:"change_id"`
	Operator   string          `json:"operator"`
	At         time.Time       `json:"at"`
	Digest     string          `json:"digest"`
	Deleted    bool            `json:"deleted,omitempty"`
	Deployment json.RawMessage `json:"deployment,omitempty"`
}

func deploymentKey(name string) string { return deploymentPrefix + name }

func changeKey(changeID string) string { return changePrefix + changeID }

// historyKey returns a key that sorts the changes of a deployment by revision.
func historyKey(name string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, name, revision)
}

func decodeHead(row model.Row) (headRecord, error) {
	var record headRecord
	if row.Version() == 0 {
		return record, nil
	}
	err := json.Unmarshal(row.Value(), &record)
	return record, errors.Wrap(err, "decode the head row of the catalog")
}

func decodeChange(row model.Row) (changeRecord, error) {
	var record changeRecord
	err := json.Unmarshal(row.Value(), &record)
	return record, errors.Wrapf(err, "decode row %q of the catalog", row.Key())
}

// toChange returns the change as operators see it.
func (changeRecord changeRecord) toChange() (model.Change, error) {
	var deployment *model.Deployment
	if len(changeRecord.Deployment) > 0 {
		decoded, err := model.DecodeDeployment(changeRecord.Deployment)
		if err != nil {
			return model.Change{}, err
		}
		deployment = decoded
	}
	return model.NewChange(changeRecord.Revision, changeRecord.Name, changeRecord.ChangeID, changeRecord.Operator, changeRecord.At, changeRecord.Deleted, deployment), nil
}

// digest returns a hash of the content of a change. It detects the reuse of a change ID for
// different content.
func digest(name string, expected uint64, deployment *model.Deployment) (string, error) {
	content := fmt.Appendf(nil, "%s\n%d\n", name, expected)
	if deployment != nil {
		encoded, err := model.EncodeDeployment(deployment.WithRevision(0))
		if err != nil {
			return "", err
		}
		content = append(content, encoded...)
	}
	hash := sha256.Sum256(content)
	return hex.EncodeToString(hash[:]), nil
}

// Package parse reads deployment files in YAML or JSON. It rejects unknown
// fields, duplicate fields and invalid values, and reports each with its line and
// field path.
package parse

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// maxFileBytes is the maximum size of a deployment file.
const maxFileBytes = 1 << 20

// Violation describes one error in a deployment file.
type Violation struct {
	file   string
	line   int
	field  string
	detail string
}

// Line returns the line number, counted from 1.
func (violation Violation) Line() int { return violation.line }

// Field returns the path of the field, as in "kinds[2].staleness", or the empty string for the file as a whole.
func (violation Violation) Field() string { return violation.field }

// String returns "file:line: field: detail".
func (violation Violation) String() string {
	if violation.field == "" {
		return fmt.Sprintf("%s:%d: %s", violation.file, violation.line, violation.detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", violation.file, violation.line, violation.field, violation.detail)
}

// FileErrors is the error for an invalid deployment file. It lists every violation.
type FileErrors []Violation

// Error returns the result code and every violation, one per line.
func (fileErrors FileErrors) Error() string {
	lines := make([]string, 0, len(fileErrors)+1)
	lines = append(lines, codes.InvalidDeployment.String())
	for _, violation := range fileErrors {
		lines = append(lines, "  "+violation.String())
	}
	return strings.Join(lines, "\n")
}

// File reads and validates the deployment file at path. Invalid content gives FileErrors.
func File(path string) (*model.Deployment, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open deployment file")
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read deployment file")
	}
	if len(content) > maxFileBytes {
		return nil, errors.Errorf("deployment file %q is larger than %d bytes", path, maxFileBytes)
	}
	return Content(path, content)
}

// Content parses and validates the content of a deployment file. A name that ends
// in ".json" selects JSON, any other name YAML. Invalid content gives FileErrors.
func Content(name string, content []byte) (*model.Deployment, error) {
	reader := &reader{file: name, fieldLines: make(map[string]int)}
	if filepath.Ext(name) == ".json" {
		if violation, ok := jsonSyntaxViolation(name, content); ok {
			return nil, FileErrors{violation}
		}
		content = bytes.ReplaceAll(content, []byte{'\t'}, []byte{' '}) // the YAML parser rejects tabs between tokens
	}
	root, err := singleDocument(content)
	if err != nil {
		return nil, FileErrors{{file: name, line: yamlErrorLine(err), detail: err.Error()}}
	}
	deployment := reader.readDeployment(root)
	if len(reader.violations) == 0 {
		reader.validate(deployment)
	}
	if len(reader.violations) > 0 {
		return nil, reader.violations
	}
	return deployment, nil
}

// singleDocument returns the root node of content, which must consist of one YAML document.
func singleDocument(content []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var node yaml.Node
	if err := decoder.Decode(&node); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the file is empty")
		}
		return nil, err
	}
	var more yaml.Node
	if err := decoder.Decode(&more); !errors.Is(err, io.EOF) {
		return nil, errors.New("the file holds more than one document")
	}
	return node.Content[0], nil
}

// yamlErrorLine returns the line number in the text of a YAML parser error, or 1 if there is none.
func yamlErrorLine(err error) int {
	line := 1
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if ok {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

func jsonSyntaxViolation(name string, content []byte) (Violation, bool) {
	var value any
	err := json.Unmarshal(content, &value)
	if err == nil {
		return Violation{}, false
	}
	line := 1
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line += bytes.Count(content[:syntax.Offset], []byte{'\n'})
	}
	return Violation{file: name, line: line, detail: err.Error()}, true
}

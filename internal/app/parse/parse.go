// Package parse reads deployment files in YAML or JSON. It refuses unknown and
// repeated fields and values of the wrong form, each with its line and field.
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

// maxFileBytes is the size of the largest file that is read.
const maxFileBytes = 1 << 20

// Violation is a fault of a deployment file.
type Violation struct {
	file   string
	line   int
	field  string
	detail string
}

// Line returns the line, counted from 1.
func (fault Violation) Line() int { return fault.line }

// Field returns the path of the field, as in "kinds[2].staleness", or the empty text.
func (fault Violation) Field() string { return fault.field }

// String returns "file:line: field: detail".
func (fault Violation) String() string {
	if fault.field == "" {
		return fmt.Sprintf("%s:%d: %s", fault.file, fault.line, fault.detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", fault.file, fault.line, fault.field, fault.detail)
}

// FileErrors is the error of a deployment file. It lists every fault.
type FileErrors []Violation

// Error gives the result code and lists every fault, one a line.
func (fileErrors FileErrors) Error() string {
	lines := make([]string, 0, len(fileErrors)+1)
	lines = append(lines, codes.InvalidDeployment.String())
	for _, fault := range fileErrors {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// File reads the deployment file at path.
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

// Content reads the content of a deployment file. A name that ends in ".json"
// stands for JSON, any other for YAML.
func Content(name string, content []byte) (*model.Deployment, error) {
	reader := &reader{file: name, fieldLines: make(map[string]int)}
	if filepath.Ext(name) == ".json" {
		if fault, ok := jsonSyntaxViolation(name, content); ok {
			return nil, FileErrors{fault}
		}
		content = bytes.ReplaceAll(content, []byte{'\t'}, []byte{' '}) // YAML has no tabs between tokens
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

// singleDocument returns the top node of the only document of content.
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

// yamlErrorLine returns the line that an error of the YAML parser names, or 1.
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

package parse

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"almondway.dev/almondway/internal/core/model"
)

// reader converts the nodes of a file and collects the violations in it.
type reader struct {
	file       string
	violations FileErrors
	// fieldLines maps the path of a field to its line.
	fieldLines map[string]int
}

// fieldReader reads the value of one field of a mapping.
type fieldReader struct {
	name string
	read func(path string, node *yaml.Node)
}

func (reader *reader) addViolation(line int, path, format string, args ...any) {
	reader.violations = append(reader.violations, Violation{file: reader.file, line: line, field: path, detail: fmt.Sprintf(format, args...)})
}

// readFields passes each field of a mapping to its fieldReader and reports
// duplicate and unknown fields.
func (reader *reader) readFields(path string, node *yaml.Node, known []fieldReader) {
	node = resolveAlias(node)
	if node.Kind != yaml.MappingNode {
		reader.addViolation(node.Line, path, "must be a mapping of fields")
		return
	}
	seen := make(map[string]int)
	for index := 0; index+1 < len(node.Content); index += 2 {
		key, value := node.Content[index], resolveAlias(node.Content[index+1])
		field := joinPath(path, key.Value)
		if line, ok := seen[key.Value]; ok {
			reader.addViolation(key.Line, field, "duplicated, first in line %d", line)
			continue
		}
		seen[key.Value] = key.Line
		reader.fieldLines[field] = key.Line
		if match, ok := findField(known, key.Value); ok {
			match.read(field, value)
			continue
		}
		reader.addViolation(key.Line, field, "unknown field; known are %s", fieldNames(known))
	}
}

// readList calls read for each item of a sequence.
func (reader *reader) readList(path string, node *yaml.Node, read func(path string, node *yaml.Node)) {
	if node.Kind != yaml.SequenceNode {
		reader.addViolation(node.Line, path, "must be a list")
		return
	}
	for index, item := range node.Content {
		itemPath := path + "[" + strconv.Itoa(index) + "]"
		reader.fieldLines[itemPath] = item.Line
		read(itemPath, resolveAlias(item))
	}
}

func (reader *reader) readString(path string, node *yaml.Node) string {
	if node.Kind != yaml.ScalarNode || node.Tag != "!!str" {
		reader.addViolation(node.Line, path, "must be a text")
		return ""
	}
	return node.Value
}

func (reader *reader) readBool(path string, node *yaml.Node) bool {
	var value bool
	if node.Kind != yaml.ScalarNode || node.Tag != "!!bool" || node.Decode(&value) != nil {
		reader.addViolation(node.Line, path, "must be true or false")
	}
	return value
}

func (reader *reader) readInt(path string, node *yaml.Node) int {
	var value int
	if node.Kind != yaml.ScalarNode || node.Tag != "!!int" || node.Decode(&value) != nil || value < 0 {
		reader.addViolation(node.Line, path, "must be a whole number of at least 0")
	}
	return value
}

func (reader *reader) readDuration(path string, node *yaml.Node) time.Duration {
	if node.Kind == yaml.ScalarNode && (node.Tag == "!!int" || node.Tag == "!!float") {
		reader.addViolation(node.Line, path, "%s has no unit; write it as in 500ms or 5s", node.Value)
		return 0
	}
	text := reader.readString(path, node)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		reader.addViolation(node.Line, path, "%q is not a duration with a unit, as in 500ms or 5s", text)
	}
	return duration
}

// validate adds the violations that model.Validate finds.
func (reader *reader) validate(deployment *model.Deployment) {
	for _, err := range model.Validate(deployment) {
		path, detail, _ := strings.Cut(err.Error(), ": ")
		reader.addViolation(reader.lineOf(path), path, "%s", detail)
	}
}

// lineOf returns the line of the field at path, or else of its nearest enclosing
// field, or else 1. If path lists several fields, the first one counts.
func (reader *reader) lineOf(path string) int {
	path, _, _ = strings.Cut(path, ",")
	for path != "" {
		if line, ok := reader.fieldLines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func resolveAlias(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node.Alias
	}
	return node
}

func findField(known []fieldReader, name string) (fieldReader, bool) {
	for _, candidate := range known {
		if candidate.name == name {
			return candidate, true
		}
	}
	return fieldReader{}, false
}

func fieldNames(known []fieldReader) string {
	list := make([]string, 0, len(known))
	for _, field := range known {
		list = append(list, field.name)
	}
	return strings.Join(list, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

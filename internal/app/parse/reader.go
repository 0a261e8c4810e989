package parse

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"almondway.dev/almondway/internal/core/model"
)

// reader walks the nodes of a file and collects its faults.
type reader struct {
	file   string
	faults FileErrors
	// lines holds the line of each field by its path.
	lines map[string]int
}

// fieldReader takes the value of one field of a mapping.
type fieldReader struct {
	name string
	read func(path string, node *yaml.Node)
}

func (reader *reader) fault(line int, path, format string, args ...any) {
	reader.faults = append(reader.faults, Fault{file: reader.file, line: line, field: path, detail: fmt.Sprintf(format, args...)})
}

// fields hands each field of a mapping to its reader.
func (reader *reader) fields(path string, node *yaml.Node, known []fieldReader) {
	node = resolve(node)
	if node.Kind != yaml.MappingNode {
		reader.fault(node.Line, path, "must be a mapping of fields")
		return
	}
	seen := make(map[string]int)
	for index := 0; index+1 < len(node.Content); index += 2 {
		key, value := node.Content[index], resolve(node.Content[index+1])
		field := join(path, key.Value)
		if line, ok := seen[key.Value]; ok {
			reader.fault(key.Line, field, "stands twice, first in line %d", line)
			continue
		}
		seen[key.Value] = key.Line
		reader.lines[field] = key.Line
		if taken, ok := find(known, key.Value); ok {
			taken.read(field, value)
			continue
		}
		reader.fault(key.Line, field, "unknown field; known are %s", names(known))
	}
}

// list hands each item of a sequence to read.
func (reader *reader) list(path string, node *yaml.Node, read func(path string, node *yaml.Node)) {
	if node.Kind != yaml.SequenceNode {
		reader.fault(node.Line, path, "must be a list")
		return
	}
	for index, item := range node.Content {
		itemPath := path + "[" + strconv.Itoa(index) + "]"
		reader.lines[itemPath] = item.Line
		read(itemPath, resolve(item))
	}
}

func (reader *reader) text(path string, node *yaml.Node) string {
	if node.Kind != yaml.ScalarNode || node.Tag != "!!str" {
		reader.fault(node.Line, path, "must be a text")
		return ""
	}
	return node.Value
}

func (reader *reader) flag(path string, node *yaml.Node) bool {
	var value bool
	if node.Kind != yaml.ScalarNode || node.Tag != "!!bool" || node.Decode(&value) != nil {
		reader.fault(node.Line, path, "must be true or false")
	}
	return value
}

func (reader *reader) number(path string, node *yaml.Node) int {
	var value int
	if node.Kind != yaml.ScalarNode || node.Tag != "!!int" || node.Decode(&value) != nil || value < 0 {
		reader.fault(node.Line, path, "must be a whole number of at least 0")
	}
	return value
}

func (reader *reader) duration(path string, node *yaml.Node) time.Duration {
	if node.Kind == yaml.ScalarNode && (node.Tag == "!!int" || node.Tag == "!!float") {
		reader.fault(node.Line, path, "%s has no unit; write it as in 500ms or 5s", node.Value)
		return 0
	}
	text := reader.text(path, node)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		reader.fault(node.Line, path, "%q is not a duration with a unit, as in 500ms or 5s", text)
	}
	return duration
}

// validate adds the faults that the values have together.
func (reader *reader) validate(deployment *model.Deployment) {
	for _, err := range model.Validate(deployment) {
		path, detail, _ := strings.Cut(err.Error(), ": ")
		reader.fault(reader.line(path), path, "%s", detail)
	}
}

// line returns the line of the field at path, or of the nearest field around it.
func (reader *reader) line(path string) int {
	path, _, _ = strings.Cut(path, ",")
	for path != "" {
		if line, ok := reader.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func resolve(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node.Alias
	}
	return node
}

func find(known []fieldReader, name string) (fieldReader, bool) {
	for _, candidate := range known {
		if candidate.name == name {
			return candidate, true
		}
	}
	return fieldReader{}, false
}

func names(known []fieldReader) string {
	list := make([]string, 0, len(known))
	for _, field := range known {
		list = append(list, field.name)
	}
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

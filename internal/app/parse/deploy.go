package parse

import (
	"gopkg.in/yaml.v3"

	"almondway.dev/almondway/internal/core/model"
)

func (reader *reader) readDeployment(root *yaml.Node) *model.Deployment {
	var spec model.DeploymentSpec
	reader.readFields("", root, []fieldReader{
		{"name", func(path string, node *yaml.Node) { spec.Name = reader.readString(path, node) }},
		{"revision", func(path string, node *yaml.Node) { spec.Revision = uint64(reader.readInt(path, node)) }},
		{"groups", func(path string, node *yaml.Node) {
			reader.readList(path, node, func(path string, node *yaml.Node) {
				spec.Groups = append(spec.Groups, model.GroupID(reader.readString(path, node)))
			})
		}},
		{"kinds", func(path string, node *yaml.Node) {
			reader.readList(path, node, func(path string, node *yaml.Node) {
				spec.Kinds = append(spec.Kinds, reader.readKind(path, node))
			})
		}},
		{"callers", func(path string, node *yaml.Node) {
			reader.readList(path, node, func(path string, node *yaml.Node) {
				spec.Classes = append(spec.Classes, reader.readCallerClass(path, node))
			})
		}},
		{"default_kind", func(path string, node *yaml.Node) { spec.DefaultKind = reader.readString(path, node) }},
		{"lag_policy", func(path string, node *yaml.Node) { spec.LagPolicy = model.LagPolicy(reader.readString(path, node)) }},
		{"weight", func(path string, node *yaml.Node) { spec.Weight = reader.readInt(path, node) }},
		{"max_waiting", func(path string, node *yaml.Node) { spec.MaxWaiting = reader.readInt(path, node) }},
	})
	return model.NewDeployment(spec)
}

func (reader *reader) readKind(path string, node *yaml.Node) model.Kind {
	var spec model.KindSpec
	reader.readFields(path, node, []fieldReader{
		{"name", func(path string, node *yaml.Node) { spec.Name = reader.readString(path, node) }},
		{"access", func(path string, node *yaml.Node) { spec.Access = model.Access(reader.readString(path, node)) }},
		{"staleness", func(path string, node *yaml.Node) { spec.Staleness = reader.readDuration(path, node) }},
		{"idempotent", func(path string, node *yaml.Node) { spec.Idempotent = reader.readBool(path, node) }},
		{"group", func(path string, node *yaml.Node) { spec.Group = model.GroupID(reader.readString(path, node)) }},
		{"timeout", func(path string, node *yaml.Node) { spec.Timeout = reader.readDuration(path, node) }},
	})
	return model.NewKind(spec)
}

func (reader *reader) readCallerClass(path string, node *yaml.Node) model.CallerClass {
	var spec model.CallerClassSpec
	reader.readFields(path, node, []fieldReader{
		{"name", func(path string, node *yaml.Node) { spec.Name = reader.readString(path, node) }},
		{"read_your_writes", func(path string, node *yaml.Node) { spec.ReadYourWrites = reader.readBool(path, node) }},
		{"max_concurrent", func(path string, node *yaml.Node) { spec.MaxConcurrent = reader.readInt(path, node) }},
	})
	return model.NewCallerClass(spec)
}

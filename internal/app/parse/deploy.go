package parse

import (
	"gopkg.in/yaml.v3"

	"almondway.dev/almondway/internal/core/model"
)

func (reader *reader) deployment(root *yaml.Node) *model.Deployment {
	var spec model.DeploymentSpec
	reader.fields("", root, []fieldReader{
		{"name", func(path string, node *yaml.Node) { spec.Name = reader.text(path, node) }},
		{"revision", func(path string, node *yaml.Node) { spec.Revision = uint64(reader.number(path, node)) }},
		{"groups", func(path string, node *yaml.Node) {
			reader.list(path, node, func(path string, node *yaml.Node) {
				spec.Groups = append(spec.Groups, model.GroupID(reader.text(path, node)))
			})
		}},
		{"kinds", func(path string, node *yaml.Node) {
			reader.list(path, node, func(path string, node *yaml.Node) {
				spec.Kinds = append(spec.Kinds, reader.kind(path, node))
			})
		}},
		{"callers", func(path string, node *yaml.Node) {
			reader.list(path, node, func(path string, node *yaml.Node) {
				spec.Classes = append(spec.Classes, reader.class(path, node))
			})
		}},
		{"default_kind", func(path string, node *yaml.Node) { spec.DefaultKind = reader.text(path, node) }},
		{"lag_policy", func(path string, node *yaml.Node) { spec.LagPolicy = model.LagPolicy(reader.text(path, node)) }},
		{"weight", func(path string, node *yaml.Node) { spec.Weight = reader.number(path, node) }},
		{"max_waiting", func(path string, node *yaml.Node) { spec.MaxWaiting = reader.number(path, node) }},
	})
	return model.NewDeployment(spec)
}

func (reader *reader) kind(path string, node *yaml.Node) model.Kind {
	var spec model.KindSpec
	reader.fields(path, node, []fieldReader{
		{"name", func(path string, node *yaml.Node) { spec.Name = reader.text(path, node) }},
		{"access", func(path string, node *yaml.Node) { spec.Access = model.Access(reader.text(path, node)) }},
		{"staleness", func(path string, node *yaml.Node) { spec.Staleness = reader.duration(path, node) }},
		{"idempotent", func(path string, node *yaml.Node) { spec.Idempotent = reader.flag(path, node) }},
		{"group", func(path string, node *yaml.Node) { spec.Group = model.GroupID(reader.text(path, node)) }},
		{"timeout", func(path string, node *yaml.Node) { spec.Timeout = reader.duration(path, node) }},
	})
	return model.NewKind(spec)
}

func (reader *reader) class(path string, node *yaml.Node) model.CallerClass {
	var spec model.CallerClassSpec
	reader.fields(path, node, []fieldReader{
		{"name", func(path string, node *yaml.Node) { spec.Name = reader.text(path, node) }},
		{"read_your_writes", func(path string, node *yaml.Node) { spec.ReadYourWrites = reader.flag(path, node) }},
		{"max_concurrent", func(path string, node *yaml.Node) { spec.MaxConcurrent = reader.number(path, node) }},
	})
	return model.NewCallerClass(spec)
}

package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"almondway.dev/almondway/internal/core/model"
)

const columnPadding = 2

// table collects rows and prints them in aligned columns. The first row holds the titles.
type table struct {
	rows [][]string
}

func newTable(titles ...string) *table { return &table{rows: [][]string{titles}} }

func (table *table) addRow(cells ...string) { table.rows = append(table.rows, cells) }

func (table *table) print(output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, columnPadding, ' ', 0)
	for _, row := range table.rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(writer.Flush(), "print table")
}

// printMessage prints a message as protobuf JSON, with snake case names and with default values.
func printMessage(output io.Writer, message proto.Message) error {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}
	encoded, err := options.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	return printIndentedJSON(output, encoded)
}

// printDeployment prints a deployment as a JSON deployment file.
func printDeployment(output io.Writer, deployment *model.Deployment) error {
	encoded, err := model.EncodeDeployment(deployment)
	if err != nil {
		return err
	}
	return printIndentedJSON(output, encoded)
}

// printDeployments prints a JSON list of deployments, each in the format of a deployment file.
func printDeployments(output io.Writer, deployments []*model.Deployment) error {
	list := make([]json.RawMessage, 0, len(deployments))
	for _, deployment := range deployments {
		encoded, err := model.EncodeDeployment(deployment)
		if err != nil {
			return err
		}
		list = append(list, encoded)
	}
	return printJSON(output, list)
}

func printJSON(output io.Writer, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	return printIndentedJSON(output, encoded)
}

func printIndentedJSON(output io.Writer, encoded []byte) error {
	var compact, indented bytes.Buffer
	if err := json.Compact(&compact, encoded); err != nil {
		return errors.Wrap(err, "encode output")
	}
	if err := json.Indent(&indented, compact.Bytes(), "", "  "); err != nil {
		return errors.Wrap(err, "encode output")
	}
	indented.WriteByte('\n')
	_, err := output.Write(indented.Bytes())
	return errors.Wrap(err, "print output")
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/parse"
	"almondway.dev/almondway/internal/core/codes"
)

func newCheck() *cobra.Command {
	command := &cobra.Command{
		Use:   "check [FILE...]",
		Short: "Check settings and deployment files without a running system",
		Long: `Check the settings of "almondway proxy", given as its flags and environment
variables, and deployment files. The command starts no process and makes no network call.`,
		Example: "  almondway check --listen 10.1.0.21:6432 examples/gradski.yaml",
	}
	loader := config.NewLoader(command.Flags())
	command.Flags().SortFlags = false
	command.RunE = func(command *cobra.Command, files []string) error {
		var messages []string
		if _, err := loader.Load(os.LookupEnv); err != nil {
			messages = append(messages, err.Error())
		}
		for _, file := range files {
			if _, err := parse.File(file); err != nil {
				messages = append(messages, err.Error())
			}
		}
		if len(messages) > 0 {
			return usageError(errors.New(strings.Join(messages, "\n")))
		}
		_, err := fmt.Fprintf(command.OutOrStdout(), "settings and %d deployment files are valid\n", len(files))
		return err
	}
	return command
}

func newCodes() *cobra.Command {
	command := &cobra.Command{Use: "codes", Short: "List the result codes", Args: cobra.NoArgs}
	output := command.Flags().StringP("output", "o", outputTable, "output format: table, json or markdown")
	command.RunE = func(command *cobra.Command, _ []string) error {
		switch *output {
		case outputJSON:
			return printJSON(command.OutOrStdout(), codeRecords())
		case outputMarkdown:
			return printCodesMarkdown(command.OutOrStdout())
		}
		table := newTable("CODE", "NAME", "SQLSTATE", "MEANING", "REMEDY")
		for _, record := range codeRecords() {
			table.addRow(record.Code, record.Name, record.SQLState, record.Meaning, record.Remedy)
		}
		return table.print(command.OutOrStdout())
	}
	return command
}

// printCodesMarkdown prints the result codes as the Markdown table of docs/RESULT_CODES.md.
func printCodesMarkdown(output io.Writer) error {
	lines := []string{"| Code | Name | SQLSTATE | Meaning | What to do |", "|---|---|---|---|---|"}
	for _, record := range codeRecords() {
		lines = append(lines, fmt.Sprintf("| %s | `%s` | %s | %s | %s |", record.Code, record.Name, record.SQLState, record.Meaning, record.Remedy))
	}
	_, err := fmt.Fprintln(output, strings.Join(lines, "\n"))
	return err
}

// codeRecord is the output form of a result code.
type codeRecord struct {
	Code     string `json:"code"`
	Name     string `json:"name"`
	SQLState string `json:"sql_state"`
	Meaning  string `json:"meaning"`
	Remedy   string `json:"remedy"`
}

func codeRecords() []codeRecord {
	var records []codeRecord
	for _, info := range codes.All() {
		records = append(records, codeRecord{
			Code:     fmt.Sprintf("AW%03d", int(info.Code())),
			Name:     info.Name(),
			SQLState: info.SQLState(),
			Meaning:  info.Meaning(),
			Remedy:   info.Remedy(),
		})
	}
	return records
}

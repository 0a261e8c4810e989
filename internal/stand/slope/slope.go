// Package slope measures the cost of a proxy per unit of load: it runs each load at several
// sizes and fits a line to the resource usage of the process.
package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	settleTime = 3 * time.Second
	windowTime = 6 * time.Second
)

// Options configure a run.
type Options struct {
	// Programs is the directory that contains the built programs.
	Programs string
	// Only is the name of the dimension to run; empty runs all.
	Only string
	// JSON selects JSON lines instead of a table.
	JSON bool
	// Output receives the rows.
	Output io.Writer
}

// Row is the fitted line of one measure over the sizes of a dimension.
type Row struct {
	Dimension string    `json:"dimension"`
	Measure   string    `json:"measure"`
	Unit      string    `json:"unit"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	Residual  float64   `json:"residual"`
}

// measure is a quantity that is computed from the observation of each run of a dimension.
type measure struct {
	name string
	unit string
	// scale converts the value to the unit.
	scale float64
	value func(observed observation) float64
}

// dimension is a load that is run at several sizes.
type dimension struct {
	name     string
	sizes    []int
	counters []string
	measures []measure
	// runAtSize returns the size that was actually reached and the observation at this size.
	runAtSize func(ctx context.Context, runner *runner, size int) (float64, observation, error)
}

// runner runs the measurements of all dimensions.
type runner struct {
	options Options
	dir     string
}

// Names returns the names of the dimensions in the order of Run.
func Names() []string {
	var names []string
	for _, dimension := range dimensions() {
		names = append(names, dimension.name)
	}
	return names
}

// Run measures the selected dimensions and prints their rows.
func Run(ctx context.Context, options Options) error {
	dir, err := newWorkDir()
	if err != nil {
		return err
	}
	runner := &runner{options: options, dir: dir}
	var rows []Row
	for _, dimension := range dimensions() {
		if options.Only != "" && options.Only != dimension.name {
			continue
		}
		measured, err := runner.measure(ctx, dimension)
		if err != nil {
			return errors.Wrapf(err, "measure %s", dimension.name)
		}
		rows = append(rows, measured...)
	}
	if len(rows) == 0 {
		return errors.Errorf("unknown dimension %q", options.Only)
	}
	if options.JSON {
		return printJSON(options.Output, rows)
	}
	return printTable(options.Output, rows)
}

func (runner *runner) measure(ctx context.Context, dimension dimension) ([]Row, error) {
	rows := make([]Row, len(dimension.measures))
	for _, size := range dimension.sizes {
		actualSize, observed, err := dimension.runAtSize(ctx, runner, size)
		if err != nil {
			return nil, errors.Wrapf(err, "size %d", size)
		}
		for index, measure := range dimension.measures {
			rows[index].Sizes = append(rows[index].Sizes, actualSize)
			rows[index].Values = append(rows[index].Values, measure.value(observed)*measure.scale)
		}
	}
	for index, measure := range dimension.measures {
		fit := NewFit(rows[index].Sizes, rows[index].Values)
		rows[index].Dimension = dimension.name
		rows[index].Measure = measure.name
		rows[index].Unit = measure.unit
		rows[index].Slope = fit.Slope()
		rows[index].Intercept = fit.Intercept()
		rows[index].Residual = fit.Residual()
	}
	return rows, nil
}

func printJSON(output io.Writer, rows []Row) error {
	encoder := json.NewEncoder(output)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return errors.Wrap(err, "print slopes")
		}
	}
	return nil
}

func printTable(output io.Writer, rows []Row) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "PER\tMEASURE\tUNIT\tSIZES\tVALUES\tSLOPE\tINTERCEPT\tRESIDUAL")
	for _, row := range rows {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\n", row.Dimension, row.Measure, row.Unit,
			formatNumbers(row.Sizes), formatNumbers(row.Values), row.Slope, row.Intercept, row.Residual*100)
	}
	return errors.Wrap(writer.Flush(), "print slopes")
}

func formatNumbers(numbers []float64) string {
	texts := make([]string, 0, len(numbers))
	for _, number := range numbers {
		texts = append(texts, fmt.Sprintf("%.4g", number))
	}
	return strings.Join(texts, " ")
}

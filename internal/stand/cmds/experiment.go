package cmds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/plug/limit"
	"almondway.dev/almondway/internal/proof/city"
)

const (
	defaultExperimentSeeds = 6
	allMechanisms          = "all"
)

// experimentOptions are the flags of the experiment command.
type experimentOptions struct {
	load      string
	without   []string
	choice    string
	seeds     int
	firstSeed uint64
}

func newExperiment() *cobra.Command {
	var options experimentOptions
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Play loads on simulated proxies and instances, and print what callers get",
		Long: "Play loads on simulated proxies and instances, and print what callers get.\n\n" +
			"The decisions are those of the product, the time is simulated, and a seed always gives\n" +
			"the same result. Loads:\n\n" + describeLoads() + "\nMechanisms: " + strings.Join(mechanismNames(), ", ") + ".",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runExperiment(command.OutOrStdout(), options) },
	}
	flags := command.Flags()
	flags.StringVar(&options.load, "load", "", "load to play; all if empty")
	flags.StringSliceVar(&options.without, "without", nil, `mechanisms to leave out, one by one; "all" selects each of them`)
	flags.StringVar(&options.choice, "choice", "", `way to choose instances for reads: `+strings.Join(choiceNames(), ", ")+`; that of the product if empty, "all" plays each of them`)
	flags.IntVar(&options.seeds, "seeds", defaultExperimentSeeds, "number of seeds")
	flags.Uint64Var(&options.firstSeed, "first-seed", 1, "first seed")
	return command
}

func describeLoads() string {
	var lines strings.Builder
	for _, load := range city.Loads() {
		_, _ = fmt.Fprintf(&lines, "  %-20s %s\n", load.Name, load.About)
	}
	return lines.String()
}

func mechanismNames() []string {
	var names []string
	for _, mechanism := range city.Mechanisms() {
		names = append(names, mechanism.Name)
	}
	return names
}

func choiceNames() []string {
	var names []string
	for _, choice := range city.Choices() {
		names = append(names, choice.Name)
	}
	return names
}

// choices returns the selected ways to choose instances, that of the product if none is named.
func (options experimentOptions) choices() ([]city.NamedChoice, error) {
	if options.choice == allMechanisms {
		return city.Choices(), nil
	}
	for _, choice := range city.Choices() {
		if options.choice == "" || choice.Name == options.choice {
			return []city.NamedChoice{choice}, nil
		}
	}
	return nil, errors.Errorf("choice %q does not exist; the choices are %s", options.choice, strings.Join(choiceNames(), ", "))
}

// variant is the product's policy or that policy without a mechanism.
type variant struct {
	name   string
	change func(policy *limit.Policy)
}

func (options experimentOptions) variants() ([]variant, error) {
	variants := []variant{{"all mechanisms", func(*limit.Policy) {}}}
	for _, name := range options.without {
		found := false
		for _, mechanism := range city.Mechanisms() {
			if name == mechanism.Name || name == allMechanisms {
				variants = append(variants, variant{"without " + mechanism.Name, mechanism.LeaveOut})
				found = true
			}
		}
		if !found {
			return nil, errors.Errorf("mechanism %q does not exist; the mechanisms are %s", name, strings.Join(mechanismNames(), ", "))
		}
	}
	return variants, nil
}

func runExperiment(output io.Writer, options experimentOptions) error {
	if options.seeds < 1 {
		return errors.Errorf("number of seeds %d is not positive", options.seeds)
	}
	variants, err := options.variants()
	if err != nil {
		return err
	}
	choices, err := options.choices()
	if err != nil {
		return err
	}
	played := false
	for _, load := range city.Loads() {
		if options.load != "" && options.load != load.Name {
			continue
		}
		played = true
		for _, variant := range variants {
			for _, choice := range choices {
				if err := printExperiment(output, load, variant, choice, options); err != nil {
					return err
				}
			}
		}
	}
	if !played {
		return errors.Errorf("load %q does not exist", options.load)
	}
	return nil
}

// printExperiment plays a load with each seed and prints the sum of the results.
func printExperiment(output io.Writer, load city.NamedLoad, variant variant, choice city.NamedChoice, options experimentOptions) error {
	var total city.Result
	for index := range uint64(options.seeds) {
		total.Add(city.Experiment(load.Load(options.firstSeed + index).WithPolicy(variant.change).WithChoice(choice.Policy)))
	}
	seeds := float64(options.seeds)
	_, _ = fmt.Fprintf(output, "%s, %s, choice by %s: %.3f in target (of %.3f that the slots could serve), slots of the primary in use %.2f, %.1f connections opened a second\n",
		load.Name, variant.name, choice.Name, total.InTarget(), total.Bound/seeds, total.SlotUse[0]/seeds, float64(total.Opened)/seeds/load.Load(options.firstSeed).Span.Seconds())
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "kind\tpriority\tasked\tin target\tlate\tunserved\tp50 ms\tp99 ms\t")
	for _, kind := range total.Kinds {
		asked := float64(max(1, kind.Asked))
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t\n", kind.Name, kind.Priority, kind.Asked,
			float64(kind.InTarget)/asked, float64(kind.Late)/asked, float64(kind.Unserved)/asked,
			quantile(kind.Latency, 50), quantile(kind.Latency, 99))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print results of the experiment")
	}
	printEvenness(output, total.Evenness)
	for _, reason := range slices.Sorted(maps.Keys(total.Reasons)) {
		_, _ = fmt.Fprintf(output, "  refused %d: %s\n", total.Reasons[reason], reason)
	}
	return nil
}

// printEvenness prints how evenly the instances were loaded.
func printEvenness(output io.Writer, evenness city.Evenness) {
	sent, windows := float64(max(1, evenness.Local+evenness.Remote)), float64(max(1, evenness.Windows))
	_, _ = fmt.Fprintf(output, "  reads that waited while another instance had a free slot: %.3f; windows of 100 ms with a queue beside a free slot: %.3f; busiest less least busy instance: %.2f slots\n",
		float64(evenness.Misplaced)/float64(max(1, evenness.Reads)), float64(evenness.OverrunWindows)/windows, evenness.GapSum/windows)
	_, _ = fmt.Fprintf(output, "  sent to other data centres: %.3f; reads rejected: %d, while another instance had a free slot: %d; connections refused: %d\n",
		float64(evenness.Remote)/sent, evenness.Rejected, evenness.RejectedWhileFree, evenness.ConnsRefused)
}

// quantile returns a quantile of latencies in milliseconds.
func quantile(latency *hdrhistogram.Histogram, percent float64) float64 {
	const microsecondsPerMillisecond = 1000
	return float64(latency.ValueAtQuantile(percent)) / microsecondsPerMillisecond
}

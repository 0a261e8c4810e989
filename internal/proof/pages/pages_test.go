// Package pages checks the documentation for operators and developers against the code.
package pages

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/cmds"
	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/stand/slope"
)

const (
	root          = "../../.."
	operatorsPage = root + "/docs/OPERATORS.md"
	codesPage     = root + "/docs/RESULT_CODES.md"
	settingsStart = "<!-- settings -->\n"
	settingsEnd   = "<!-- /settings -->"
)

var update = flag.Bool("update", false, "write the generated tables into the pages")

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return string(content)
}

func settingsTable() string {
	lines := []string{"| Flag | Variable | Default | Meaning |", "|---|---|---|---|"}
	for _, setting := range config.Defaults() {
		value := "none"
		if setting.Value() != "" {
			value = "`" + setting.Value() + "`"
		}
		lines = append(lines, fmt.Sprintf("| `--%s` | `%s` | %s | %s |", setting.Flag(), setting.Env(), value, setting.Usage()))
	}
	return strings.Join(lines, "\n") + "\n"
}

// Compares the table of settings with the settings' definitions. To regenerate
// the table, run: go test ./internal/proof/pages -update.
func TestSettingsTable(t *testing.T) {
	is := is.New(t)
	page := readFile(t, operatorsPage)
	before, rest, ok := strings.Cut(page, settingsStart)
	is.True(ok)
	table, after, ok := strings.Cut(rest, settingsEnd)
	is.True(ok)
	if *update {
		table = settingsTable()
		is.NoErr(os.WriteFile(operatorsPage, []byte(before+settingsStart+table+settingsEnd+after), 0o600))
	}
	is.Equal(table, settingsTable())
}

func TestResultCodesPage(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	is.Equal(cmds.Run([]string{"codes", "--output", "markdown"}, &output, &output), cmds.ExitOK)
	page := readFile(t, codesPage)
	index := strings.Index(page, "| Code |")
	is.True(index > 0)
	if *update {
		page = page[:index] + output.String()
		is.NoErr(os.WriteFile(codesPage, []byte(page), 0o600))
	}
	is.Equal(page[index:], output.String())
	for _, info := range codes.All() {
		is.Equal(strings.Count(page, fmt.Sprintf("| AW%03d |", int(info.Code()))), 1)
	}
}

// shellLines returns the non-empty lines of the shell code blocks of a page.
func shellLines(page string) []string {
	var lines []string
	inside := false
	for _, line := range strings.Split(page, "\n") {
		switch {
		case strings.HasPrefix(line, "```sh"):
			inside = true
		case strings.HasPrefix(line, "```"):
			inside = false
		case inside && line != "":
			lines = append(lines, line)
		}
	}
	return lines
}

func pagePaths(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(root + "/docs/*.md")
	is.New(t).NoErr(err)
	return append(paths, root+"/README.md")
}

// Every command in a shell block exists and accepts the flags shown.
func TestCommandsExist(t *testing.T) {
	makefile := readFile(t, root+"/Makefile")
	program := filepath.Join(t.TempDir(), "standin")
	build := exec.Command("go", "build", "-o", program, "./cmd/standin")
	build.Dir = root
	is.New(t).NoErr(build.Run())
	for _, path := range pagePaths(t) {
		for _, line := range shellLines(readFile(t, path)) {
			t.Run(filepath.Base(path)+": "+line, func(t *testing.T) {
				is := is.New(t)
				words := strings.Fields(strings.TrimPrefix(line, "bin/"))
				switch words[0] {
				case "almondway":
					var output bytes.Buffer
					is.Equal(cmds.Run(append(words[1:], "--help"), &output, &output), cmds.ExitOK)
					is.True(strings.Contains(output.String(), "\n  "+usagePrefix(words)))
				case "standin":
					output, err := exec.Command(program, append(words[1:], "--help")...).CombinedOutput()
					is.NoErr(err)
					is.True(strings.Contains(string(output), "\n  "+usagePrefix(words)))
				case "make":
					is.True(strings.Contains(makefile, "\n"+words[1]+":"))
				default:
					t.Fatalf("unknown program %q", words[0])
				}
			})
		}
	}
}

// usagePrefix returns the start of a command's usage line: the program and its subcommands.
func usagePrefix(words []string) string {
	parents := map[string]bool{"deployment": true, "group": true, "drain": true}
	if parents[words[1]] {
		return strings.Join(words[:3], " ")
	}
	return strings.Join(words[:2], " ")
}

var (
	makeTarget = regexp.MustCompile("`make ([a-z-]+)[^`]*`")
	linkPath   = regexp.MustCompile(`\]\(([^)#:]+)\)`)
	sourcePath = regexp.MustCompile("`((?:internal|proto|examples|cmd|docs)/[a-zA-Z0-9_./-]+)`")
	slopeName  = regexp.MustCompile("ONLY=([a-z_]+)")
	metricName = regexp.MustCompile("almondway_[a-z_]+")
	flagName   = regexp.MustCompile("`--([a-z-]+)")
)

// Every make target, link and source path named on a page exists.
func TestReferencesExist(t *testing.T) {
	makefile := readFile(t, root+"/Makefile")
	for _, path := range pagePaths(t) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			page := readFile(t, path)
			for _, match := range makeTarget.FindAllStringSubmatch(page, -1) {
				is.True(strings.Contains(makefile, "\n"+match[1]+":")) // target of the Makefile
			}
			for _, match := range linkPath.FindAllStringSubmatch(page, -1) {
				_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
				is.NoErr(err)
			}
			for _, match := range sourcePath.FindAllStringSubmatch(page, -1) {
				_, err := os.Stat(filepath.Join(root, match[1]))
				is.NoErr(err)
			}
		})
	}
}

// The capacity page names every slope dimension, and no dimension that does not exist.
func TestSlopesExist(t *testing.T) {
	is := is.New(t)
	page := readFile(t, root+"/docs/CAPACITY.md")
	known := make(map[string]bool)
	for _, name := range slope.Names() {
		known[name] = true
		is.True(strings.Contains(page, "`make slopes ONLY="+name+"`"))
	}
	for _, match := range slopeName.FindAllStringSubmatch(page, -1) {
		is.True(known[match[1]])
	}
}

// Every flag named on the operators' page is a setting or a command flag.
func TestFlagsExist(t *testing.T) {
	is := is.New(t)
	known := map[string]bool{"admin": true, "token-file": true, "ca-file": true, "output": true, "resume": true, "target": true}
	for _, setting := range config.Defaults() {
		known[setting.Flag()] = true
	}
	for _, match := range flagName.FindAllStringSubmatch(readFile(t, operatorsPage), -1) {
		if !known[match[1]] {
			t.Errorf("the operators' page names the flag --%s, which does not exist", match[1])
		}
	}
	is.True(len(known) > 6)
}

// Every metric named on the operators' page is a counter of the kernel or
// appears in the code that exports metrics.
func TestMetricsExist(t *testing.T) {
	exporters := readFile(t, root+"/internal/app/metric/observe.go") + readFile(t, root+"/internal/app/metric/journal.go") + readFile(t, root+"/internal/app/serve/health.go")
	counters := make(map[string]bool)
	for _, name := range count.Names() {
		counters["almondway_"+name.String()+"_total"] = true
	}
	for _, name := range metricName.FindAllString(readFile(t, operatorsPage), -1) {
		plain := strings.TrimPrefix(name, "almondway_")
		if strings.HasPrefix(name, "almondway_begin") || strings.HasPrefix(name, "almondway_settle") || strings.HasPrefix(name, "almondway_trim") {
			continue // a function in the database
		}
		if !counters[name] && !strings.Contains(exporters, `"`+plain+`"`) {
			t.Errorf("the operators' page names the metric %s, which does not exist", name)
		}
	}
}

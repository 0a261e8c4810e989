package rules

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// platformNames matches names of the hosting platform's protocol, settings and
// store. The names are concatenated so that this file does not match the pattern.
var platformNames = regexp.MustCompile(strings.Join([]string{
	"rows" + "-(tx|get|feed|parts)", "blob" + "-(put|get|drop|list)", "schema" + "_version", "Fencing" + "-Token", "Duty" + "-Holder",
	"db" + "_role", "STEP" + "DOWN", "START" + "UP ", "DATA" + "ROW", "ALMONDWAY" + "_BOOT", "cloud" + "_api", "tx" + "_idle_ms",
	"max" + "_staleness_ms", "cold" + "_remaining_ms", "heartbeat" + "_ms", "listen" + "_addrs", "fleet" + "bench",
}, "|"))

// Names of the hosting platform belong to its adapter. The test fails when one
// of them appears in any other part of the source.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	is := is.New(t)
	checked := 0
	for _, area := range []string{"cmd", "internal", "proto", "scripts"} {
		err := filepath.WalkDir(filepath.Join(root, area), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			content, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			checked++
			if found := platformNames.Find(content); found != nil {
				t.Errorf("%s contains %q, a name of the hosting platform", path, found)
			}
			return nil
		})
		is.NoErr(err)
	}
	is.True(checked > 300)
}

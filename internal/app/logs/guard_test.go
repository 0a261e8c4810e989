package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/logs"
)

func TestGuard(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log, err := logs.New(&output, "info", 0)
	is.NoErr(err)
	defer log.Close()
	code := 0
	end := func(with int) { code = with }
	log.Guard("kernel", end, func() {})
	is.Equal(code, 0)
	is.Equal(output.Len(), 0)
	log.Guard("kernel", end, func() {
		var none []int
		_ = none[len(none)-1]
	})
	is.Equal(code, 2)
	var line map[string]any
	is.NoErr(json.Unmarshal(output.Bytes(), &line))
	is.Equal(line["event"], "process failed")
	is.Equal(line["part"], "kernel")
	is.Equal(line["reason"], "runtime error: index out of range [-1]")
	is.True(strings.Contains(line["stack"].(string), "TestGuard"))
}

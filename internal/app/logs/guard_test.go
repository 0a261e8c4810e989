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
	exitCode := 0
	exit := func(code int) { exitCode = code }
	log.Guard("kernel", exit, func() {})
	is.Equal(exitCode, 0)
	is.Equal(output.Len(), 0)
	log.Guard("kernel", exit, func() {
		var empty []int
		_ = empty[len(empty)-1]
	})
	is.Equal(exitCode, 2)
	var line map[string]any
	is.NoErr(json.Unmarshal(output.Bytes(), &line))
	is.Equal(line["event"], "process failed")
	is.Equal(line["part"], "kernel")
	is.Equal(line["reason"], "runtime error: index out of range [-1]")
	is.True(strings.Contains(line["stack"].(string), "TestGuard"))
}

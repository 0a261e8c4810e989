package query

import (
	"testing"

	"almondway.dev/almondway/internal/proof/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 0, 0) }

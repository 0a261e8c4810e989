package rules

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestKnownRedListsFailedTests(t *testing.T) {
	const list = "Tests that fail.\n\ntest: TestSoak/seed_4\ncommand: go test\n\ntest: TestSoak/late_join_404\n\ntest: TestAlone\n"
	cases := []struct {
		name, output string
		passes       bool
	}{
		{"listed test", "--- FAIL: TestAlone (0.10s)\n    a_test.go:3: lost\nFAIL\nFAIL\texample/a\t0.2s\n", true},
		{"listed test that prints its failure", "\ta_test.go:3: lost\n--- FAIL: TestAlone (0.10s)\nFAIL\nFAIL\texample/a\t0.2s\n", true},
		{"unlisted test", "--- FAIL: TestOther (0.10s)\n    a_test.go:3: lost\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"unlisted test in another package", "--- FAIL: TestAlone (0.10s)\nFAIL\nFAIL\texample/a\t0.2s\n--- FAIL: TestOther (0s)\nFAIL\nFAIL\texample/b\t0.2s\n", false},
		{"parent of listed subtests", "--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/seed_4 (9.10s)\n        a_test.go:3: lost\n            b_test.go:9: \n" +
			"    --- FAIL: TestSoak/late_join_404 (9.10s)\n        a_test.go:3: lost\nFAIL\nFAIL\texample/a\t0.2s\n", true},
		{"parent of listed subtests that print their failures", "\ta_test.go:3: lost\n--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/seed_4 (9.10s)\nFAIL\nFAIL\texample/a\t0.2s\n", true},
		{"parent of an unlisted subtest", "--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/seed_4 (9.10s)\n        a_test.go:3: lost\n" +
			"    --- FAIL: TestSoak/seed_40 (9.10s)\n        a_test.go:3: lost\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"parent that fails before its subtests", "--- FAIL: TestSoak (0.00s)\n    a_test.go:3: no program\n    --- FAIL: TestSoak/seed_4 (9.10s)\n        a_test.go:3: lost\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"parent that fails after its subtests", "--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/seed_4 (9.10s)\n        a_test.go:3: lost\n    a_test.go:3: no handover\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"parent that fails after a subtest that passed", "--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/seed_4 (9.10s)\n    --- PASS: TestSoak/seed_1 (9.10s)\n        a_test.go:3: note\n" +
			"    a_test.go:3: no handover\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"parent that prints its own failure", "\ta_test.go:3: lost\n--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/seed_4 (9.10s)\n        a_test.go:3: lost\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"test between parent and listed subtest", "--- FAIL: TestSoak (0.00s)\n    --- FAIL: TestSoak/group (0s)\n        --- FAIL: TestSoak/group/seed_4 (9.10s)\nFAIL\nFAIL\texample/a\t0.2s\n", false},
		{"listed test beside a package that fails without a test", "--- FAIL: TestAlone (0.10s)\nFAIL\nFAIL\texample/a\t0.2s\nFAIL\nFAIL\texample/b\t0.2s\n", false},
		{"panic", "--- FAIL: TestAlone (0.10s)\npanic: runtime error\nFAIL\texample/a\t0.2s\n", false},
		{"build failure", "--- FAIL: TestAlone (0.10s)\nFAIL\nFAIL\texample/a\t0.2s\nFAIL\texample/b [build failed]\n", false},
		{"no output", "", false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			output, listed := filepath.Join(dir, "output"), filepath.Join(dir, "list")
			is.NoErr(os.WriteFile(output, []byte(testCase.output), 0o600))
			is.NoErr(os.WriteFile(listed, []byte(list), 0o600))
			printed, err := exec.Command(filepath.Join(root, "scripts", "known-red"), output, listed).CombinedOutput()
			if (err == nil) != testCase.passes {
				t.Errorf("passes: %v, want %v, printed:\n%s", err == nil, testCase.passes, printed)
			}
		})
	}
}

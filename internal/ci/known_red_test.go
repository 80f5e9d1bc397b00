// Package ci tests the scripts in .ci, and the names of tests in the documentation.
package ci

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// newTestModule creates a small module with the scripts and returns its directory. In it TestBroken fails, TestTorn
// panics, TestMended passes, and TestBrokenNoMore fails if OTHER_FAILS is set.
func newTestModule(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{
		".ci/run", ".ci/lint", ".ci/known-red", "tools/go.mod", "tools/go.sum",
		"staticcheck.conf", "revive.toml", "revive-product.toml", ".golangci.yml", ".golangci-strict.yml",
	} {
		text, err := os.ReadFile(filepath.Join("..", "..", name))
		if err != nil {
			t.Fatal(err)
		}
		write(name, string(text))
	}
	write("go.mod", "module tiny\n\ngo 1.24\n")
	write("cmd/x/x.go", "// Package x is empty.\npackage x\n")
	write("wire/x.go", "// Package x is empty.\npackage x\n")
	write("internal/strict/x.go", "// Package x is empty.\npackage x\n")
	write(".ci/strict-packages", "# A comment.\ninternal/strict\n")
	write("internal/x/x_test.go", `// Package x has tests that fail.
package x

import (
	"os"
	"testing"
)

func TestBroken(t *testing.T) { t.Fatal("broken") }

func TestTorn(*testing.T) { panic("torn") }

func TestMended(*testing.T) {}

// TestBroken is a prefix of its name; skipping that test must not skip this one.
func TestBrokenNoMore(t *testing.T) {
	if os.Getenv("OTHER_FAILS") != "" {
		t.Fatal("a new fault")
	}
}
`)
	return dir
}

// knownRedCase is the content of a KNOWN-RED.txt with the expected result of .ci/run: whether it succeeds, and
// texts that its output contains.
type knownRedCase struct {
	name, list, env string
	wantPass        bool
	wantOutput      []string
}

const twoListed = "TestBroken `go test -run TestBroken ./...` breaks by design, issue 1\n" +
	"TestTorn `go test -run TestTorn ./...` panics, issue 2"

var knownRedCases = []knownRedCase{
	{"nothing listed", "", "", false, []string{"--- FAIL: TestBroken "}},
	{
		"all failing are listed", twoListed + "\nTestMended `go test -run TestMended ./...` was red, issue 3\n\n", "", true,
		[]string{
			"known red: TestBroken failed", "known red: TestTorn failed",
			"known red: TestMended passed", "ok  \ttiny/internal/x",
		},
	},
	{
		"a test that is not listed fails too", twoListed + "\n", "OTHER_FAILS=1", false,
		[]string{"known red: TestTorn failed", "--- FAIL: TestBrokenNoMore "},
	},
	{
		"one of two failing tests is not listed", "TestTorn `go test -run TestTorn ./...` panics, issue 2\n", "", false,
		[]string{"--- FAIL: TestBroken "},
	},
	{
		"unknown test", "TestBroke `go test -run TestBroke ./...` breaks, issue 1\n", "", false,
		[]string{"no such test: TestBroke"},
	},
	{"only the name", "TestBroken\n", "", false, []string{"not a test, its cause and its issue"}},
	{
		"no command", "TestBroken breaks by design, issue 1\n", "", false,
		[]string{"no command (go test …) or no issue: TestBroken"},
	},
	{
		"no issue", "TestBroken `go test -run TestBroken ./...` breaks by design\n", "", false,
		[]string{"no command (go test …) or no issue: TestBroken"},
	},
	{
		"issue without a number", "TestBroken `go test -run TestBroken ./...` breaks, issue\n", "", false,
		[]string{"no command (go test …) or no issue: TestBroken"},
	},
	{
		"pattern instead of a name", "TestBroken|TestTorn both, issue 1\n", "", false,
		[]string{"not a test, its cause and its issue"},
	},
	{
		"more than three tests",
		twoListed + "\nTestMended `go test ./...` x, issue 3\nTestBrokenNoMore `go test ./...` y, issue 4\n", "", false,
		[]string{"at most three"},
	},
}

// The linters are tested separately: here .ci/lint is replaced by a script that only prints that it ran.
func TestOnlyListedTestsMayFail(t *testing.T) {
	t.Parallel()
	dir := newTestModule(t)
	if err := os.WriteFile(filepath.Join(dir, ".ci", "lint"), []byte("echo linted\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range knownRedCases {
		list := filepath.Join(dir, "KNOWN-RED.txt")
		if c.list == "" {
			_ = os.Remove(list)
		} else if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := runScript(t, dir, "run", c.env)
		if (err == nil) != c.wantPass {
			t.Errorf("%s: error %v, want success %v\n%s", c.name, err, c.wantPass, out)
		}
		for _, s := range append(c.wantOutput, "linted\n") {
			if !strings.Contains(out, s) {
				t.Errorf("%s: output lacks %q:\n%s", c.name, s, out)
			}
		}
		if c.list == "" && strings.Contains(out, "known red") {
			t.Errorf("%s: output reports a known red test:\n%s", c.name, out)
		}
	}
}

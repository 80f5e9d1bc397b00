package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestLintersFailOnEachKindOfFinding(t *testing.T) {
	dir := site(t)
	const documented = "// Package x is small.\npackage x\n\n"
	for _, c := range []struct {
		name, file, text string
		says             string // "": no finding
	}{
		{"nothing to find", "x.go", documented + "// Do does nothing.\nfunc Do() {}\n", ""},
		{"test that is long, but not too long", "x_test.go", documented + "import \"testing\"\n\nfunc TestIt(*testing.T) {\n" + strings.Repeat("\tprintln()\n", 61) + "}\n", ""},
		{"long test", "x_test.go", documented + "import \"testing\"\n\nfunc TestIt(*testing.T) {\n" + strings.Repeat("\tprintln()\n", 107) + "}\n", "#function-length"},
		{"package without a comment", "x.go", "package x\n", "(ST1000)"},
		{"exported function without a comment", "x.go", documented + "func Do() {}\n", "exported function Do should have comment"},
		{"comment that begins with another name", "x.go", documented + "// Does nothing.\nfunc Do() {}\n", "(ST1020)"},
		{"code that nobody uses", "x.go", documented + "func do() {}\n", "(U1000)"},
		{"code of tests that nobody uses", "x_test.go", documented + "func do() {}\n", "(U1000)"},
		{"long function", "x.go", documented + "// Do prints.\nfunc Do() {\n" + strings.Repeat("\tprintln()\n", 61) + "}\n", "#function-length"},
		{"complex function", "x.go", documented + "// Do prints.\nfunc Do(n int) {\n" + strings.Repeat("if n > 0 {\n", 9) + "println()\n" + strings.Repeat("}\n", 9) + "}\n", "#cognitive-complexity"},
		{"ignored with its reason", "x.go", documented + "//lint:ignore U1000 kept for a test\nfunc do() {}\n", ""},
		{"ignored without a reason", "x.go", documented + "//lint:ignore U1000\nfunc do() {}\n", "malformed linter directive"},
		{"disabled without a reason", "x.go", documented + "//revive:disable-next-line:exported\nfunc Do() {}\n", "reason of lint disabling not found"},
	} {
		path := filepath.Join(dir, "wire", c.file)
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := runScript(dir, "lint")
		if c.says == "" && (err != nil || len(out) > 0) {
			t.Errorf("%s: %v\n%s", c.name, err, out)
		}
		if c.says != "" && (err == nil || !strings.Contains(out, c.says)) {
			t.Errorf("%s: %v, nothing said of %q:\n%s", c.name, err, c.says, out)
		}
		if c.file != "x.go" {
			_ = os.Remove(path)
		}
	}
	if out, err := runScript(dir, "run"); err == nil || strings.Contains(out, "--- FAIL") {
		t.Errorf("the tests ran in spite of a finding: %v\n%s", err, out)
	}
}

// runScript runs a script of .ci in a site.
func runScript(dir, name string, env ...string) (string, error) {
	run := exec.Command("bash", filepath.Join(dir, ".ci", name))
	run.Env = append(append(os.Environ(), "GOFLAGS=", "GOWORK=off"), env...)
	out, err := run.CombinedOutput()
	return string(out), err
}

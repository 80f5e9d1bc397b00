package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	packageHeader  = "// Package x is small.\npackage x\n\n"
	testFileHeader = packageHeader + "import \"testing\"\n\nfunc TestIt(*testing.T) {\n"
)

// lintCase is a file of the test module and the linter that reports a finding in it. The file name lacks ".go".
type lintCase struct {
	file, text string
	linter     string // "": no finding
}

func TestLintersFailOnEachKindOfFinding(t *testing.T) {
	t.Parallel()
	dir := newTestModule(t)
	for _, c := range []struct {
		name, file, text string
		wantOutput       string // "": no finding
	}{
		{"no finding", "x.go", packageHeader + "// Do does nothing.\nfunc Do() {}\n", ""},
		{"test longer than the limit for other functions", "x_test.go", testFileHeader + printLines(61) + "}\n", ""},
		{"test longer than the limit for tests", "x_test.go", testFileHeader + printLines(107) + "}\n", "#function-length"},
		{"package without a comment", "x.go", "package x\n", "(ST1000)"},
		{
			"exported function without a comment", "x.go", packageHeader + "func Do() {}\n",
			"exported function Do should have comment",
		},
		{
			"comment that does not begin with the name", "x.go",
			packageHeader + "// Does nothing.\nfunc Do() {}\n", "(ST1020)",
		},
		{"unused function", "x.go", packageHeader + "func do() {}\n", "(U1000)"},
		{"unused function of a test file", "x_test.go", packageHeader + "func do() {}\n", "(U1000)"},
		{
			"long function", "x.go",
			packageHeader + "// Do prints.\nfunc Do() {\n" + printLines(61) + "}\n", "#function-length",
		},
		{
			"complex function", "x.go",
			packageHeader + "// Do prints.\nfunc Do(n int) {\n" + nestedBranches(9) + "}\n", "#cognitive-complexity",
		},
		{
			"ignored with a reason", "x.go",
			packageHeader + "//lint:ignore U1000 kept for a test\nfunc do() {}\n", "",
		},
		{
			"ignored without a reason", "x.go",
			packageHeader + "//lint:ignore U1000\nfunc do() {}\n", "malformed linter directive",
		},
		{
			"disabled without a reason", "x.go",
			packageHeader + "//revive:disable-next-line:exported\nfunc Do() {}\n",
			"reason of lint disabling not found",
		},
	} {
		path := filepath.Join(dir, "wire", c.file)
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := runScript(t, dir, "lint")
		if c.wantOutput == "" && (err != nil || out != "") {
			t.Errorf("%s: error %v, want success without output:\n%s", c.name, err, out)
		}
		if c.wantOutput != "" && (err == nil || !strings.Contains(out, c.wantOutput)) {
			t.Errorf("%s: error %v, want a failure with %q in the output:\n%s", c.name, err, c.wantOutput, out)
		}
		if c.file != "x.go" {
			_ = os.Remove(path)
		}
	}
	if out, err := runScript(t, dir, "run"); err == nil || strings.Contains(out, "--- FAIL") {
		t.Errorf("the run succeeded or ran the tests despite a finding: error %v\n%s", err, out)
	}
}

// lintCases has one case for each kind of finding that only golangci-lint reports, in all packages.
var lintCases = []lintCase{
	{"ignored_error", "import \"os\"\n\n// Do1 removes.\nfunc Do1() { os.Remove(\"x\") }\n", "errcheck"},
	{
		"compared_error", "import \"io\"\n\n// Do2 compares.\nfunc Do2(err error) bool { return err == io.EOF }\n",
		"errorlint",
	},
	{
		"lost_assignment", "// Do3 assigns.\n" +
			"func Do3(n int) int {\n\tm := 1\n\tif n > 0 {\n\t\tm = 2\n\t} else {\n\t\tm = 3\n\t}\n\treturn m\n}\n",
		"ineffassign",
	},
	{
		"lost_error", "// Do4 loses it.\n" +
			"func Do4(err error) error {\n\tif err != nil {\n\t\treturn nil\n\t}\n\treturn err\n}\n",
		"nilerr",
	},
	{"misspelled", "// Do5 reci" + "eves nothing.\nfunc Do5() {}\n", "misspell"},
	{
		"rule_of_revive", "// Do6 compares.\n" +
			"func Do6(n int) int {\n\tif n > 0 {\n\t\treturn 1\n\t} else {\n\t\treturn 2\n\t}\n}\n",
		"revive",
	},
	{
		"dir_test", "import (\n\t\"os\"\n\t\"testing\"\n)\n\n" +
			"func TestIt(t *testing.T) {\n\tt.Log(os.MkdirTemp(\"\", \"x\"))\n}\n",
		"usetesting",
	},
	{
		"helper_test", "import \"testing\"\n\nfunc TestThis(t *testing.T) { this(1, t) }\n\n" +
			"func this(n int, t *testing.T) {\n\tt.Helper()\n\tt.Log(n)\n}\n",
		"thelper",
	},
	{
		"nolint_without_reason", "import \"os\"\n\n// Do7 removes.\n" +
			"func Do7() {\n\tos.Remove(\"x\") //nolint:errcheck\n}\n",
		"nolintlint",
	},
	{
		"nolint_without_linter", "import \"os\"\n\n// Do8 removes.\n" +
			"func Do8() {\n\tos.Remove(\"x\") //nolint // it may be gone\n}\n",
		"nolintlint",
	},
	{
		"import_order", "import (\n\t\"errors\"\n\n\t\"io\"\n)\n\n" +
			"// Err is small.\nvar Err = errors.Join(io.EOF)\n",
		"gci",
	},
	{"empty_line", "// Do13 prints.\nfunc Do13() {\n\n\tprintln()\n}\n", "gofumpt"},
	{"not_formatted", "// Do9 does nothing.\nfunc  Do9() {}\n", "gofmt"},
	{
		"increment", "// Do10 counts.\nfunc Do10(n int) int {\n\tn = n + 1\n\treturn n\n}\n",
		"gocritic",
	},
	{
		"chain", "// Do12 prints.\nfunc Do12(n int) {\n" +
			"\tif n == 1 {\n\t\tprintln(1)\n\t} else if n == 2 {\n\t\tprintln(2)\n\t}\n}\n",
		"staticcheck",
	},
	{
		"nolint_with_reason", "import \"os\"\n\n// Do11 removes.\n" +
			"func Do11() {\n\tos.Remove(\"x\") //nolint:errcheck // it may be gone\n}\n",
		"",
	},
}

// One run checks all files, because starting the linters for each file would be slow.
func TestGolangciLintFailsOnEachKindOfFinding(t *testing.T) {
	t.Parallel()
	checkLintCases(t, newTestModule(t), "wire", lintCases)
}

// strictLintCases returns a case for each kind of finding that is reported only in the packages that
// .ci/strict-packages lists.
func strictLintCases() []lintCase {
	return []lintCase{
		{"long_line", "// Do1 prints.\nfunc Do1() {\n\tprintln(\"" + strings.Repeat("x", 111) + "\")\n}\n", "lll"},
		{"complex_function", "// Do2 prints.\nfunc Do2(n int) {\n" + nestedBranches(6) + "}\n", "gocognit"},
		{"long_test", "import \"testing\"\n\nfunc TestIt(*testing.T) {\n" + printLines(61) + "}\n", "funlen"},
		{
			"not_wrapped", "import \"fmt\"\n\n// Do4 wraps.\n" +
				"func Do4(err error) error { return fmt.Errorf(\"x: %v\", err) }\n",
			"errorlint",
		},
		{
			"assertion", "// Do5 asserts.\nfunc Do5(x any) {\n\ty := x.(int)\n\tprintln(y)\n}\n",
			"forcetypeassert",
		},
		{
			"without_context", "import \"net\"\n\n// Do6 listens.\n" +
				"func Do6() (net.Listener, error) { return net.Listen(\"tcp\", \"\") }\n",
			"noctx",
		},
		{"conversion", "// Do7 converts.\nfunc Do7(n int) int { return int(n) }\n", "unconvert"},
		{
			"unused_parameter", "// Do8 prints.\nfunc Do8(n int) int { return show(n, 2*n) }\n\n" +
				"func show(n, m int) int {\n\tfor i := range n {\n\t\tprintln(i)\n\t}\n\treturn n * n\n}\n",
			"unparam",
		},
		{
			"needless_assignment", "// Do9 assigns.\n" +
				"func Do9(n int) int {\n\tm := 0\n\tif n > 0 {\n\t\tm = 2\n\t} else {\n\t\tm = 3\n\t}\n\treturn m\n}\n",
			"wastedassign",
		},
		{"needless_nolint", "// Do10 does nothing.\nfunc Do10() {} //nolint:lll // a reason\n", "nolintlint"},
		{
			"new_context", "import \"context\"\n\n// Do11 gives it up.\n" +
				"func Do11(ctx context.Context) error {\n\treturn give(context.Background(), ctx.Err())\n}\n\n" +
				"func give(ctx context.Context, err error) error {\n\t<-ctx.Done()\n\treturn err\n}\n",
			"contextcheck",
		},
		{"nothing", "// Do12 does nothing.\nfunc Do12() {}\n", ""},
	}
}

func TestStrictPackagesAreCheckedWithTheStrictLinters(t *testing.T) {
	t.Parallel()
	dir := newTestModule(t)
	checkLintCases(t, dir, "internal/strict", strictLintCases())
	// The same files have no finding in a package that is not listed.
	wire := filepath.Join(dir, "wire")
	if err := os.RemoveAll(wire); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(filepath.Join(dir, "internal", "strict"), wire); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(dir, "internal", "strict", "x.go")
	if err := os.Mkdir(filepath.Dir(empty), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(empty, []byte(strings.TrimSpace(packageHeader)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := runScript(t, dir, "lint"); err != nil || out != "" {
		t.Errorf("in a package that is not listed: error %v, want success without output:\n%s", err, out)
	}
}

// checkLintCases runs the linters once with the files of all cases in a package. Each case's linter must report a
// finding in its file, and there must be no finding in the file of a case without a linter.
func checkLintCases(t *testing.T, dir, pkg string, all []lintCase) {
	t.Helper()
	for _, c := range all {
		text := []byte("package x\n\n" + c.text)
		if err := os.WriteFile(filepath.Join(dir, pkg, c.file+".go"), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out, err := runScript(t, dir, "lint")
	for _, c := range all {
		found := regexp.MustCompile(`(?m)^` + pkg + `/` + c.file + `\.go:.*\((` + c.linter + `)\)$`)
		if c.linter != "" && !found.MatchString(out) {
			t.Errorf("%s: no finding by %s", c.file, c.linter)
		}
		if c.linter == "" && strings.Contains(out, pkg+"/"+c.file+".go:") {
			t.Errorf("%s: unexpected finding", c.file)
		}
	}
	if err == nil || t.Failed() {
		t.Errorf("lint: error %v, want a failure with the findings above:\n%s", err, out)
	}
}

func TestStrictPackagesExist(t *testing.T) {
	t.Parallel()
	dir := newTestModule(t)
	for list, wantOutput := range map[string]string{
		"# None.\n":                       "lists no package",
		"internal/strict\ninternal/old\n": "no such directory: internal/old",
	} {
		if err := os.WriteFile(filepath.Join(dir, ".ci", "strict-packages"), []byte(list), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, err := runScript(t, dir, "lint"); err == nil || !strings.Contains(out, wantOutput) {
			t.Errorf("error %v, want a failure with %q in the output:\n%s", err, wantOutput, out)
		}
	}
}

// Files that belong to no package, which no linter reads, must be formatted too.
func TestRunFailsOnFilesThatAreNotFormatted(t *testing.T) {
	t.Parallel()
	dir := newTestModule(t)
	for _, name := range []string{"wire/testdata/x.go", "wire/other.go", "tools/x.go"} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		text := "//go:build never\n\n" + packageHeader + "func  do() {}\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := runScript(t, dir, "run")
		if err == nil || !strings.Contains(out, name) || strings.Contains(out, "--- FAIL") {
			t.Errorf("%s: error %v, want a failure that names the file, before the tests:\n%s", name, err, out)
		}
		_ = os.Remove(path)
	}
}

// printLines returns the given number of lines of a function body, each of which prints.
func printLines(lines int) string {
	return strings.Repeat("\tprintln()\n", lines)
}

// nestedBranches returns a function body of if statements nested to the given depth.
func nestedBranches(depth int) string {
	body := "println()\n"
	for range depth {
		body = "if n > 0 {\n\t" + strings.ReplaceAll(strings.TrimSuffix(body, "\n"), "\n", "\n\t") + "\n}\n"
	}
	return "\t" + strings.ReplaceAll(strings.TrimSuffix(body, "\n"), "\n", "\n\t") + "\n"
}

// runScript runs a script of .ci in the test module and returns its combined output.
func runScript(t *testing.T, dir, name string, env ...string) (string, error) {
	t.Helper()
	run := exec.CommandContext(t.Context(), "bash", filepath.Join(dir, ".ci", name))
	run.Env = append(append(os.Environ(), "GOFLAGS=", "GOWORK=off"), env...)
	out, err := run.CombinedOutput()
	return string(out), err
}

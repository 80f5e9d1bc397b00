package ci

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// Names of tests in a page. Names that end in "…" or "*" are prefixes.
	namedTest    = regexp.MustCompile(`Test[A-Z]\w*(…|\*)?`)
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)\w+)\(`)
	// Names of scenarios, which compound-faults.md lists in a table without the prefix "Test".
	namedScenario = regexp.MustCompile("`([A-Z][a-z]+(?:[A-Z][a-z]*){3,})`")
)

// declaredTests returns the names of all tests and benchmarks that are declared below root.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, found := range declaredTest.FindAllStringSubmatch(string(text), -1) {
			tests[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

// missingTests returns the names of tests in the text that are not declared. A name that ends in "…" or "*"
// is a prefix, which at least one declared test must have.
func missingTests(text string, declared map[string]bool) []string {
	var missing []string
	for _, name := range namedTest.FindAllString(text, -1) {
		prefix, isPrefix := strings.CutSuffix(strings.TrimSuffix(name, "*"), "…")
		isPrefix = isPrefix || strings.HasSuffix(name, "*")
		if !declared[prefix] && (!isPrefix || !anyHasPrefix(declared, prefix)) {
			missing = append(missing, name)
		}
	}
	for _, found := range namedScenario.FindAllStringSubmatch(text, -1) {
		if !strings.HasPrefix(found[1], "Test") && !declared["Test"+found[1]] && !declared[found[1]] {
			missing = append(missing, found[1])
		}
	}
	return missing
}

func anyHasPrefix(declared map[string]bool, prefix string) bool {
	for name := range declared {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// The documentation names the tests that verify its statements. This fails when such a test was renamed or deleted.
func TestTestsThatThePagesNameExist(t *testing.T) {
	root := filepath.Join("..", "..")
	declared := declaredTests(t, root)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil || len(pages) < 4 {
		t.Fatalf("pages %v, error %v, want at least 4 pages", pages, err)
	}
	for _, page := range append(pages, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range missingTests(string(text), declared) {
			t.Errorf("%s names the test %s, which does not exist", page, name)
		}
	}
}

func TestMissingTestsAreFound(t *testing.T) {
	declared := map[string]bool{"TestOneThatIsThere": true}
	text := "`TestOneThatIsThere`, `TestOne…`, `TestOneThat*`, `OneThatIsThere`; " +
		"`TestOneThatIsGone`, TestTwo…, `OneThatIsGone`"
	got := strings.Join(missingTests(text, declared), " ")
	if want := "TestOneThatIsGone TestTwo… OneThatIsGone"; got != want {
		t.Errorf("missing tests: %s, want %s", got, want)
	}
}

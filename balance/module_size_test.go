package balance

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	maxFileLines   = 300 // lines of a file that are not blank
	maxLineColumns = 110 // columns of a line, with tabs of four columns
)

// Each file of the package must stay short, as on-call engineers read the package in their first days, and
// the deploy file must list every file.
func TestModuleFilesStayShort(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob("*.go")
	if err != nil || len(names) == 0 {
		t.Fatalf("got Go files %v and error %v, want at least one file", names, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if !strings.Contains(string(deploy), `"balance/`+name+`"`) {
			t.Errorf("%s is not listed among the policy files in deploy/balancer.toml", name)
		}
		checkFileSize(t, name)
	}
}

// checkFileSize checks the number of lines of a file and their width.
func checkFileSize(t *testing.T, name string) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxLineColumns {
			t.Errorf("%s: line %d is %d columns wide, over the limit", name, i+1, width)
		}
	}
	if lines > maxFileLines {
		t.Errorf("%s: %d lines that are not blank, want at most %d", name, lines, maxFileLines)
	}
}

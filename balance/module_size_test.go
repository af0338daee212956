package balance

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	maxFileLines   = 300 // that are not blank
	maxLineColumns = 110 // with tabs of four columns
)

// On-call engineers read the decisions in their first days: each file has to stay short, and the deploy file
// has to name all of them.
func TestModuleFilesStayShort(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob("*.go")
	if err != nil || len(names) == 0 {
		t.Fatalf("files %v, %v", names, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if !strings.Contains(string(deploy), `"balance/`+name+`"`) {
			t.Errorf("%s is not among the policy files of the deploy file", name)
		}
		checkFileSize(t, name)
	}
}

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
			t.Errorf("%s: line %d is %d columns wide", name, i+1, width)
		}
	}
	if lines > maxFileLines {
		t.Errorf("%s: %d lines, at most %d", name, lines, maxFileLines)
	}
}

package main_test

// This file checks that the documents hold: tables are what the code has, every
// metric, event and error kind is explained, and commands that are shown exist.

import (
	"cmp"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"bulrushtally/lab"
	"bulrushtally/request"
	"bulrushtally/settings"
)

var update = flag.Bool("update", false, "write the tables of docs/OPERATIONS.md")

const operating = "../../docs/OPERATIONS.md"

func errorTable() string {
	var b strings.Builder
	b.WriteString("| code | status | remedy |\n| --- | --- | --- |\n")
	codes := request.Codes()
	slices.SortFunc(codes, func(x, y request.Code) int { return cmp.Compare(x, y) })
	for _, c := range codes {
		f := request.Fail(c, "")
		fmt.Fprintf(&b, "| `%s` | %d | %s |\n", c, f.Status(), f.Remedy())
	}
	return b.String()
}

func settingsTable() string {
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range settings.Keys() {
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s |\n", k.Section, k.Name, k.Default, k.Meaning)
	}
	return b.String()
}

// fill puts a table between a marker and the next end.
func fill(text, marker, table string) string {
	head, rest, _ := strings.Cut(text, marker+" -->\n")
	_, tail, _ := strings.Cut(rest, "<!-- end -->")
	return head + marker + " -->\n" + table + "<!-- end -->" + tail
}

func TestTablesOfOperating(t *testing.T) {
	data, err := os.ReadFile(operating)
	if err != nil {
		t.Fatal(err)
	}
	want := fill(string(data), "<!-- errors: written from the code", errorTable())
	want = fill(want, "<!-- settings: written from the code", settingsTable())
	if *update {
		if err := os.WriteFile(operating, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(data) != want {
		t.Error("docs/OPERATIONS.md differs from the code; run go test ./cmd/bulrushtally -run Tables -update")
	}
}

// source returns all Go source but tests, the laboratory's included.
func source(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		b.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestMetricsEventsAndErrorsAreExplained(t *testing.T) {
	data, err := os.ReadFile(operating)
	if err != nil {
		t.Fatal(err)
	}
	text, code := string(data), source(t)
	for what, pattern := range map[string]string{
		"metric":      `(?:Counter|Gauge|Timer)\("([a-z_]+)"\)`,
		"log event":   `\.Msg\("([a-z-]+)"\)`,
		"error kind":  `fail\(c, [^,]+, "([a-z-]+)"`,
		"error kind ": `Code: "([a-z-]+)"`,
	} {
		found := regexp.MustCompile(pattern).FindAllStringSubmatch(code, -1)
		if len(found) == 0 {
			t.Errorf("no %s in the code", what)
		}
		for _, m := range found {
			if !strings.Contains(text, "`"+m[1]+"`") {
				t.Errorf("%s %q is not in docs/OPERATIONS.md", what, m[1])
			}
		}
	}
}

// TestCommandsShownExist asks the program for the help of each command that a document shows.
func TestCommandsShownExist(t *testing.T) {
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	s := site{t: t, callers: []string{"127.0.0.1:1"}}
	shown := 0
	for _, file := range append(files, "../../README.md", "../../CONTRIBUTING.md") {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?m)^    (?:\./)?bulrushtally ([a-z-]+)((?: -[a-z-]+)*)`).FindAllStringSubmatch(string(data), -1) {
			shown++
			out, code := s.run(m[1], "--help")
			if code != 0 || !strings.Contains(out, "bulrushtally "+m[1]) {
				t.Errorf("%s shows the command %q, which %s does not have", file, m[1], filepath.Base(path))
			}
			for _, name := range strings.Fields(m[2]) {
				if !strings.Contains(out, name) {
					t.Errorf("%s shows %s of %s, which has no such flag", file, name, m[1])
				}
			}
		}
		for _, m := range regexp.MustCompile(`bulrushlab measure ([a-z]+)`).FindAllStringSubmatch(string(data), -1) {
			shown++
			if !slices.ContainsFunc(lab.Experiments, func(x lab.Experiment) bool { return x.Name == m[1] }) {
				t.Errorf("%s shows the experiment %q, which does not exist", file, m[1])
			}
		}
	}
	if shown < 15 {
		t.Errorf("%d commands are shown, want at least 15: the pattern finds none", shown)
	}
}

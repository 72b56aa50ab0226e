package main_test

// This file checks the documents against the code: the tables match the code, every metric,
// log event and error code is documented, and every command shown exists.

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

const operationsDocument = "../../docs/OPERATIONS.md"

// errorCodeTable returns the Markdown table of the error codes that callers receive.
func errorCodeTable() string {
	var b strings.Builder
	b.WriteString("| code | status | remedy |\n| --- | --- | --- |\n")
	codes := request.Codes()
	slices.SortFunc(codes, func(x, y request.Code) int { return cmp.Compare(x, y) })
	for _, c := range codes {
		f := request.NewFailure(c, "")
		fmt.Fprintf(&b, "| `%s` | %d | %s |\n", c, f.HTTPStatus(), f.Remedy())
	}
	return b.String()
}

// settingsTable returns the Markdown table of the settings' keys.
func settingsTable() string {
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range settings.Keys() {
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s |\n", k.Section, k.Name, k.Default, k.Description)
	}
	return b.String()
}

// replaceTable returns text with the lines between a marker and the next end marker replaced
// by table.
func replaceTable(text, marker, table string) string {
	head, afterMarker, _ := strings.Cut(text, marker+" -->\n")
	_, tail, _ := strings.Cut(afterMarker, "<!-- end -->")
	return head + marker + " -->\n" + table + "<!-- end -->" + tail
}

func TestOperationsTablesMatchCode(t *testing.T) {
	data, err := os.ReadFile(operationsDocument)
	if err != nil {
		t.Fatal(err)
	}
	want := replaceTable(string(data), "<!-- errors: written from the code", errorCodeTable())
	want = replaceTable(want, "<!-- settings: written from the code", settingsTable())
	if *update {
		if err := os.WriteFile(operationsDocument, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(data) != want {
		t.Error("docs/OPERATIONS.md differs from the code; run go test ./cmd/bulrushtally -run Tables -update")
	}
}

// nonTestSource returns the concatenated Go source of the module without its tests.
func nonTestSource(t *testing.T) string {
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

func TestMetricsEventsAndErrorsAreDocumented(t *testing.T) {
	data, err := os.ReadFile(operationsDocument)
	if err != nil {
		t.Fatal(err)
	}
	text, code := string(data), nonTestSource(t)
	for what, pattern := range map[string]string{
		"metric":      `(?:Counter|Gauge|Timer)\("([a-z_]+)"\)`,
		"log event":   `\.Msg\("([a-z-]+)"\)`,
		"error code":  `writeFailure\(c, [^,]+, "([a-z-]+)"`,
		"error code ": `Code: "([a-z-]+)"`,
	} {
		found := regexp.MustCompile(pattern).FindAllStringSubmatch(code, -1)
		if len(found) == 0 {
			t.Errorf("no %s found in the code: the pattern matches nothing", what)
		}
		for _, m := range found {
			if !strings.Contains(text, "`"+m[1]+"`") {
				t.Errorf("%s %q is not documented in docs/OPERATIONS.md", what, m[1])
			}
		}
	}
}

// TestDocumentedCommandsExist runs each command that a document shows with --help, and checks
// that the help lists the flags shown. It also checks that the experiments shown exist.
func TestDocumentedCommandsExist(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	d := deployment{t: t, callerAddresses: []string{"127.0.0.1:1"}}
	count := 0
	for _, file := range append(files, "../../README.md", "../../CONTRIBUTING.md") {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?m)^    (?:\./)?bulrushtally ([a-z-]+)((?: -[a-z-]+)*)`).FindAllStringSubmatch(string(data), -1) {
			count++
			out, code := d.runCommand(m[1], "--help")
			if code != 0 || !strings.Contains(out, "bulrushtally "+m[1]) {
				t.Errorf("%s shows the command %q, which %s lacks", file, m[1], filepath.Base(path))
			}
			for _, name := range strings.Fields(m[2]) {
				if !strings.Contains(out, name) {
					t.Errorf("%s shows the flag %s of the command %s, which has no such flag", file, name, m[1])
				}
			}
		}
		for _, m := range regexp.MustCompile(`bulrushlab measure ([a-z]+)`).FindAllStringSubmatch(string(data), -1) {
			count++
			if !slices.ContainsFunc(lab.Experiments, func(x lab.Experiment) bool { return x.Name == m[1] }) {
				t.Errorf("%s shows the experiment %q, which does not exist", file, m[1])
			}
		}
	}
	if count < 15 {
		t.Errorf("found %d commands in the documents, want at least 15; the patterns may no longer match", count)
	}
}

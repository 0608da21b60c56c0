package declaration

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"figbank"
	"figbank/inifile"
)

const digest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

const validFile = `[Service]
Name = tabmodel
Revision = 7
Kind = Model
Model = tabs
Version = v1
Manifest = ` + digest + `
FailureDomains = akl-a, wlg-a
Workspaces = *
Repeatable = yes
`

func TestParseValidFile(t *testing.T) {
	declared, err := Parse("f", []byte(validFile+"\n[FailureDomain]\nName = akl-a\nRevision = 1\nState = Out\n"))
	if err != nil {
		t.Fatalf("Parse() = %v", err)
	}
	if got := declared[0].GetService(); got.GetName() != "tabmodel" || got.GetRevision() != 7 || len(got.GetFailureDomains()) != 2 || !got.GetRepeatable() {
		t.Errorf("service = %v", got)
	}
	if got := declared[1].GetFailureDomain(); got.GetState() != "Out" {
		t.Errorf("failure domain = %v", got)
	}
}

// TestInvalidFiles has one file for each kind of mistake. The first problem must give
// the line and the key of the mistake.
func TestInvalidFiles(t *testing.T) {
	scenarios := []struct {
		name     string
		content  string
		wantLine int
		wantKey  string
	}{
		{name: "unknown key", content: "[Service]\nNam = x\n", wantLine: 2, wantKey: "Nam"},
		{name: "missing key", content: "[FailureDomain]\nName = a\nState = In\n", wantLine: 1, wantKey: "Revision"},
		{name: "not a number", content: "[FailureDomain]\nName = a\nRevision = one\nState = In\n", wantLine: 3, wantKey: "Revision"},
		{name: "number out of range", content: "[FailureDomain]\nName = a\nRevision = 0\nState = In\n", wantLine: 3, wantKey: "Revision"},
		{name: "value not among the allowed ones", content: "\n\n[FailureDomain]\nName = a\nRevision = 1\nState = Off\n", wantLine: 6, wantKey: "State"},
		{name: "invalid name", content: "[FailureDomain]\nName = A B\nRevision = 1\nState = In\n", wantLine: 2, wantKey: "Name"},
		{name: "key twice", content: "[FailureDomain]\nName = a\nName = b\nRevision = 1\nState = In\n", wantLine: 3, wantKey: "Name"},
		{name: "unknown section", content: "# a comment\n[Sevrice]\nName = x\n", wantLine: 2, wantKey: ""},
		{name: "key before a section", content: "Name = x\n", wantLine: 1, wantKey: "Name"},
		{name: "line without a value", content: "[FailureDomain]\nName\n", wantLine: 2, wantKey: "Name"},
		{name: "list item twice", content: "[Service]\nName = s\nRevision = 1\nKind = Plain\nFailureDomains = a, a\nWorkspaces = *\nRepeatable = no\n", wantLine: 5, wantKey: "FailureDomains"},
		{name: "weights of a plain service", content: "[Service]\nName = s\nRevision = 1\nKind = Plain\nVersion = v1\nFailureDomains = a\nWorkspaces = *\nRepeatable = no\n", wantLine: 5, wantKey: "Version"},
		{name: "model without weights", content: "[Service]\nName = s\nRevision = 1\nFailureDomains = a\nWorkspaces = *\nRepeatable = no\n", wantLine: 1, wantKey: "Model"},
		{name: "* listed beside a workspace", content: "[Service]\nName = s\nRevision = 1\nKind = Plain\nFailureDomains = a\nWorkspaces = *, b\nRepeatable = no\n", wantLine: 6, wantKey: "Workspaces"},
		{name: "multi-line value", content: "[FailureDomain]\nName = \"\"\"a\nb\"\"\"\nRevision = 1\nState = In\n", wantLine: 2, wantKey: "Name"},
		{name: "subject declared twice", content: "[FailureDomain]\nName = a\nRevision = 1\nState = In\n[FailureDomain]\nName = a\nRevision = 2\nState = Out\n", wantLine: 6, wantKey: "Name"},
		{name: "empty file", content: "# nothing\n", wantLine: 1, wantKey: ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := Parse("invalid.figbank", []byte(s.content))
			var problems inifile.ProblemsError
			if !errors.As(err, &problems) {
				t.Fatalf("Parse() = %v, want ProblemsError", err)
			}
			got := problems.Problems[0]
			if got.Line != s.wantLine || got.Key != s.wantKey || got.File != "invalid.figbank" {
				t.Errorf("first problem = %v, want line %d and key %q", got, s.wantLine, s.wantKey)
			}
		})
	}
}

func TestReadFolder(t *testing.T) {
	folder := t.TempDir()
	write := func(path, content string) {
		full := filepath.Join(folder, path)
		if err := errors.Join(os.MkdirAll(filepath.Dir(full), 0o755), os.WriteFile(full, []byte(content), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	write("tabmodel/main.go", "package main")
	if _, err := ReadFolder(folder); !errors.As(err, new(figbank.InvalidError)) {
		t.Errorf("ReadFolder() of a folder without declarations = %v, want InvalidError", err)
	}
	write("tabmodel/tabmodel.figbank", validFile)
	write(".git/old.figbank", "invalid")
	declared, err := ReadFolder(folder)
	if err != nil || len(declared) != 1 {
		t.Errorf("ReadFolder() = %v, %v, want one declaration", declared, err)
	}
	write("copy/tabmodel.figbank", validFile)
	if _, err := ReadFolder(folder); !errors.As(err, new(inifile.ProblemsError)) {
		t.Errorf("ReadFolder() of one service in two files = %v, want ProblemsError", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[FailureDomain]\nName = a\nRevision = 1\nState = Out\n"))
	f.Add([]byte("[a.b]\nx = %(y)s\n[DEFAULT]\ny = \\\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		declared, err := Parse("f", content)
		if err != nil && !errors.As(err, new(inifile.ProblemsError)) {
			t.Errorf("Parse() = %T, want ProblemsError", err)
		}
		if err == nil && len(declared) == 0 {
			t.Error("Parse() accepted a file without a declaration")
		}
	})
}

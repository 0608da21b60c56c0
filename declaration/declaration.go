// Package declaration reads and checks the operators' declaration files.
package declaration

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"figbank"
	"figbank/inifile"
	"figbank/ledger"
	"figbank/schema"
)

const (
	// Extension is the file name extension of declaration files.
	Extension = ".figbank"

	sectionService = "Service"
	sectionDomain  = "FailureDomain"
	kindPlain      = "Plain"
)

// ReadFolder reads all declaration files below a folder, except those in hidden
// folders. It returns an inifile.ProblemsError if any file is invalid, and a
// figbank.InvalidError if it cannot read the folder or finds no declaration file.
func ReadFolder(folder string) ([]*schema.Declaration, error) {
	var all []*schema.Declaration
	var problems []inifile.Problem
	seen := map[string]inifile.Section{}
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != folder {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != Extension {
			return nil
		}
		content, err := os.ReadFile(path) //nolint:gosec // the operator names the folder
		if err != nil {
			return err
		}
		declarations, fileProblems := parse(path, content, seen)
		all = append(all, declarations...)
		problems = append(problems, fileProblems...)
		return nil
	})
	if err != nil {
		return nil, figbank.WrapError("declaration", "Collect", figbank.InvalidError{Subject: "folder", Detail: err.Error()})
	}
	if len(all) == 0 && len(problems) == 0 {
		detail := "no " + Extension + " file below " + folder
		return nil, figbank.WrapError("declaration", "Collect", figbank.InvalidError{Subject: "folder", Detail: detail})
	}
	return all, inifile.AsError(problems)
}

// Parse parses and checks the content of one file. The parameter file only names the file in
// problems; the file is not opened. Parse returns an inifile.ProblemsError if the content is
// invalid.
func Parse(file string, content []byte) ([]*schema.Declaration, error) {
	declarations, problems := parse(file, content, map[string]inifile.Section{})
	return declarations, inifile.AsError(problems)
}

// parse decodes the declarations of one file. It adds the section of each declared subject to
// seen, and reports a problem for a subject that is already in seen.
func parse(file string, content []byte, seen map[string]inifile.Section) ([]*schema.Declaration, []inifile.Problem) {
	sections, problems := inifile.Parse(file, content)
	if len(sections) == 0 && len(problems) == 0 {
		return nil, []inifile.Problem{{File: file, Line: 1, Detail: "file contains no declaration"}}
	}
	var declarations []*schema.Declaration
	for _, section := range sections {
		declared, sectionProblems := decode(section)
		problems = append(problems, sectionProblems...)
		if len(sectionProblems) > 0 {
			continue
		}
		subject := ledger.Subject(declared)
		if first, duplicate := seen[subject]; duplicate {
			problems = append(problems, problem(section, "Name", subject+" is already declared in "+first.File))
			continue
		}
		seen[subject] = section
		declarations = append(declarations, declared)
	}
	return declarations, problems
}

// decode decodes one section. The section's name decides the kind of declaration.
func decode(section inifile.Section) (*schema.Declaration, []inifile.Problem) {
	switch section.Name {
	case sectionService:
		service := &schema.ServiceDeclaration{}
		problems := inifile.Decode(section, service)
		if len(problems) == 0 {
			problems = checkService(section, service)
		}
		return &schema.Declaration{Subject: &schema.Declaration_Service{Service: service}}, problems
	case sectionDomain:
		domain := &schema.FailureDomainDeclaration{}
		problems := inifile.Decode(section, domain)
		return &schema.Declaration{Subject: &schema.Declaration_FailureDomain{FailureDomain: domain}}, problems
	}
	return nil, []inifile.Problem{problem(section, "", "unknown section; allowed: Service, FailureDomain")}
}

// CheckService checks the rules of a service that a KeyRule cannot express. It
// returns a description of the first problem, or "" if there is none.
func CheckService(service *schema.ServiceDeclaration) string {
	if problems := checkService(inifile.Section{}, service); len(problems) > 0 {
		return problems[0].Key + ": " + problems[0].Detail
	}
	return ""
}

// checkService checks the rules of a service that a KeyRule cannot express.
func checkService(section inifile.Section, service *schema.ServiceDeclaration) []inifile.Problem {
	weights := []struct{ key, value string }{
		{"Model", service.GetModel()},
		{"Version", service.GetVersion()},
		{"Manifest", service.GetManifest()},
	}
	var problems []inifile.Problem
	for _, w := range weights {
		if service.GetKind() == kindPlain && w.value != "" {
			problems = append(problems, problem(section, w.key, "a service of kind Plain has no weights"))
		}
		if service.GetKind() != kindPlain && w.value == "" {
			problems = append(problems, problem(section, w.key, "a service of kind Model needs this key"))
		}
	}
	if service.GetKind() == kindPlain && service.GetAdapter() != "" {
		problems = append(problems, problem(section, "Adapter", "a service of kind Plain has no weights"))
	}
	if len(service.GetWorkspaces()) > 1 && strings.Contains(strings.Join(service.GetWorkspaces(), ","), "*") {
		problems = append(problems, problem(section, "Workspaces", "* stands for all workspaces and must stand alone"))
	}
	return problems
}

func problem(section inifile.Section, key, detail string) inifile.Problem {
	return inifile.Problem{File: section.File, Line: section.LineOf(key), Section: section.Name, Key: key, Detail: detail}
}

package keyfile

import (
	"strings"

	"gopkg.in/ini.v1"
)

// maxFile bounds a file in bytes.
const maxFile = 1 << 20

type (
	// Section is one section of a file, in the file's order.
	Section struct {
		File string
		Name string
		Line int
		Keys []Key
	}

	// Key is one key with its text.
	Key struct {
		Name  string
		Value string
		Line  int
	}

	// sectionLines holds where one section and its keys stand.
	sectionLines struct {
		name string
		line int
		keys []Key
	}
)

// Parse reads a file's sections. Keys before the first section are a problem.
func Parse(file string, content []byte) ([]Section, []Problem) {
	if len(content) > maxFile {
		return nil, []Problem{{File: file, Line: 1, Detail: "file is longer than 1 MiB"}}
	}
	located, problems := locate(file, string(content))
	if len(problems) > 0 {
		return nil, problems
	}
	parsed, err := ini.LoadSources(loadOptions(), content)
	if err != nil {
		return nil, []Problem{{File: file, Line: 1, Detail: "not an INI file: " + err.Error()}}
	}
	return join(file, parsed, located)
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}
}

// locate finds the line of each section and key, which the INI library does not
// tell, and refuses the forms for which lines and keys do not match one to one.
func locate(file, content string) ([]sectionLines, []Problem) {
	sections := []sectionLines{{name: ini.DefaultSection, line: 1}}
	var problems []Problem
	for i, line := range strings.Split(strings.TrimPrefix(content, "\ufeff"), "\n") {
		text := strings.TrimSpace(line)
		at := i + 1
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			name, ok := sectionName(text)
			if !ok {
				problems = append(problems, Problem{File: file, Line: at, Detail: "section must stand as [Name] on a line of its own"})
				continue
			}
			sections = append(sections, sectionLines{name: name, line: at})
		default:
			current := &sections[len(sections)-1]
			key, detail := keyOf(text, at)
			if detail != "" {
				problems = append(problems, Problem{File: file, Line: at, Section: visible(current.name), Key: key.Name, Detail: detail})
				continue
			}
			current.keys = append(current.keys, key)
		}
	}
	return sections, problems
}

func sectionName(text string) (string, bool) {
	inner, ok := strings.CutSuffix(text[1:], "]")
	inner = strings.TrimSpace(inner)
	return inner, ok && inner != "" && !strings.ContainsAny(inner, "[]\"`'")
}

func keyOf(text string, line int) (key Key, detail string) {
	name, value, found := strings.Cut(text, "=")
	key = Key{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value), Line: line}
	switch {
	case !found:
		return key, "expected Key = value"
	case key.Name == "" || key.Name == "-" || strings.ContainsAny(key.Name, "\"`'"):
		return key, "key must be a plain name"
	case strings.HasPrefix(key.Value, "`") || strings.HasPrefix(key.Value, `"""`):
		return key, "values over several lines are not allowed"
	}
	return key, ""
}

// join attaches the lines to the parsed sections and reports what stands twice.
func join(file string, parsed *ini.File, located []sectionLines) ([]Section, []Problem) {
	var sections []Section
	var problems []Problem
	all := parsed.Sections()
	if len(all) != len(located) {
		return nil, []Problem{{File: file, Line: 1, Detail: "sections cannot be told apart"}}
	}
	for i, lines := range located {
		if lines.name == ini.DefaultSection {
			problems = append(problems, looseKeys(file, lines)...)
			continue
		}
		section := Section{File: file, Name: lines.name, Line: lines.line}
		seen := map[string]bool{}
		for _, key := range lines.keys {
			if seen[key.Name] {
				problems = append(problems, Problem{File: file, Line: key.Line, Section: lines.name, Key: key.Name, Detail: "key stands twice"})
				continue
			}
			seen[key.Name] = true
			key.Value = all[i].Key(key.Name).Value()
			section.Keys = append(section.Keys, key)
		}
		sections = append(sections, section)
	}
	return sections, problems
}

func looseKeys(file string, lines sectionLines) []Problem {
	var problems []Problem
	for _, key := range lines.keys {
		problems = append(problems, Problem{File: file, Line: key.Line, Key: key.Name, Detail: "key stands before the first section"})
	}
	return problems
}

func visible(section string) string {
	if section == ini.DefaultSection {
		return ""
	}
	return section
}

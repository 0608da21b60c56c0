package inifile

import (
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileSize is the largest accepted file in bytes.
const maxFileSize = 1 << 20

type (
	// Section is one section of a file, with its keys in the order of the file.
	Section struct {
		File string
		Name string
		Line int
		Keys []Key
	}

	// Key is one key with the text of its value.
	Key struct {
		Name  string
		Value string
		Line  int
	}

	// sectionLines holds the lines of one section and its keys.
	sectionLines struct {
		name string
		line int
		keys []Key
	}
)

// Parse returns the sections of a file. It reports as problems: keys before the first
// section, keys that occur twice in a section, and syntax that it cannot parse.
func Parse(file string, content []byte) ([]Section, []Problem) {
	if len(content) > maxFileSize {
		return nil, []Problem{{File: file, Line: 1, Detail: "file is longer than 1 MiB"}}
	}
	located, problems := findLines(file, string(content))
	if len(problems) > 0 {
		return nil, problems
	}
	parsed, err := ini.LoadSources(loadOptions(), content)
	if err != nil {
		return nil, []Problem{{File: file, Line: 1, Detail: "not an INI file: " + err.Error()}}
	}
	return mergeLines(file, parsed, located)
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

// findLines finds the line of each section and key, which the INI library does not
// report. It rejects syntax in which a key does not take exactly one line, for example
// multi-line values.
func findLines(file, content string) ([]sectionLines, []Problem) {
	sections := []sectionLines{{name: ini.DefaultSection, line: 1}}
	var problems []Problem
	for i, line := range strings.Split(strings.TrimPrefix(content, "\ufeff"), "\n") {
		text := strings.TrimSpace(line)
		lineNumber := i + 1
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			name, ok := sectionName(text)
			if !ok {
				problems = append(problems, Problem{File: file, Line: lineNumber, Detail: "a section header must be [Name], alone on its line"})
				continue
			}
			sections = append(sections, sectionLines{name: name, line: lineNumber})
		default:
			current := &sections[len(sections)-1]
			key, detail := keyOf(text, lineNumber)
			if detail != "" {
				problems = append(problems, Problem{File: file, Line: lineNumber, Section: displayName(current.name), Key: key.Name, Detail: detail})
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
		return key, "key name must not be empty or \"-\", nor contain quotes"
	case strings.HasPrefix(key.Value, "`") || strings.HasPrefix(key.Value, `"""`):
		return key, "multi-line values are not allowed"
	}
	return key, ""
}

// mergeLines combines the parsed values with their lines and reports duplicate keys.
func mergeLines(file string, parsed *ini.File, located []sectionLines) ([]Section, []Problem) {
	var sections []Section
	var problems []Problem
	all := parsed.Sections()
	if len(all) != len(located) {
		return nil, []Problem{{File: file, Line: 1, Detail: "the INI parser found a different number of sections"}}
	}
	for i, lines := range located {
		if lines.name == ini.DefaultSection {
			problems = append(problems, keysOutsideSections(file, lines)...)
			continue
		}
		section := Section{File: file, Name: lines.name, Line: lines.line}
		seen := map[string]bool{}
		for _, key := range lines.keys {
			if seen[key.Name] {
				problems = append(problems, Problem{File: file, Line: key.Line, Section: lines.name, Key: key.Name, Detail: "key occurs twice"})
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

func keysOutsideSections(file string, lines sectionLines) []Problem {
	var problems []Problem
	for _, key := range lines.keys {
		problems = append(problems, Problem{File: file, Line: key.Line, Key: key.Name, Detail: "key is before the first section"})
	}
	return problems
}

func displayName(section string) string {
	if section == ini.DefaultSection {
		return ""
	}
	return section
}

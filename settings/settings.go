// Package settings reads the settings files of figbank's processes.
package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"figbank"
	"figbank/inifile"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// ReadGateway reads and checks a gateway's settings file.
func ReadGateway(path string) (*schema.GatewaySettings, error) {
	content, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, figbank.WrapError("settings", "Read", figbank.InvalidError{Subject: "settings file", Detail: err.Error()})
	}
	return ParseGateway(path, content)
}

// ParseGateway parses and checks the content of a gateway's settings file.
func ParseGateway(file string, content []byte) (*schema.GatewaySettings, error) {
	message := &schema.GatewaySettings{}
	sections, problems := parse(file, content, message)
	if len(problems) == 0 {
		problems = append(problems, checkGateway(file, sections, message)...)
	}
	return message, inifile.AsError(problems)
}

// ReadAgent reads and checks an agent's settings file.
func ReadAgent(path string) (*schema.AgentSettings, error) {
	content, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, figbank.WrapError("settings", "Read", figbank.InvalidError{Subject: "settings file", Detail: err.Error()})
	}
	return ParseAgent(path, content)
}

// ParseAgent parses and checks the content of an agent's settings file.
func ParseAgent(file string, content []byte) (*schema.AgentSettings, error) {
	message := &schema.AgentSettings{}
	sections, problems := parse(file, content, message)
	if len(problems) == 0 {
		problems = append(problems, checkAgent(file, sections, message)...)
	}
	return message, inifile.AsError(problems)
}

// ReadPlatform reads and checks the settings file of a process on a platform.
func ReadPlatform(path string) (*schema.PlatformSettings, error) {
	content, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, figbank.WrapError("settings", "Read", figbank.InvalidError{Subject: "settings file", Detail: err.Error()})
	}
	return ParsePlatform(path, content)
}

// ParsePlatform parses and checks the content of the settings file of a process on
// a platform.
func ParsePlatform(file string, content []byte) (*schema.PlatformSettings, error) {
	message := &schema.PlatformSettings{}
	sections, problems := parse(file, content, message)
	if len(problems) == 0 {
		problems = append(problems, checkPlatform(file, sections, message)...)
	}
	return message, inifile.AsError(problems)
}

// WriteReference writes a Markdown page that documents every key of every kind of
// settings file.
func WriteReference(w io.Writer) error {
	kinds := []struct {
		title   string
		message proto.Message
	}{
		{title: "Settings of a gateway", message: &schema.GatewaySettings{}},
		{title: "Settings of an agent", message: &schema.AgentSettings{}},
		{title: "Settings of a process on a platform", message: &schema.PlatformSettings{}},
	}
	fmt.Fprint(w, "# Settings\n\nMade by `figbank settings`. A key with `;` before it shows its default.\n")
	for _, kind := range kinds {
		fmt.Fprintf(w, "\n## %s\n\n```ini\n", kind.title)
		if err := writeSections(w, kind.message); err != nil {
			return err
		}
		fmt.Fprint(w, "```\n")
	}
	return nil
}

func writeSections(w io.Writer, message proto.Message) error {
	fields := message.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		if i > 0 {
			fmt.Fprintln(w)
		}
		section := message.ProtoReflect().NewField(fields.Get(i)).Message().Interface()
		if err := inifile.WriteReference(w, string(fields.Get(i).Name()), section); err != nil {
			return err
		}
	}
	return nil
}

// parse fills each field of message from the section of the same name, and returns
// these sections by name.
func parse(file string, content []byte, message proto.Message) (map[string]inifile.Section, []inifile.Problem) {
	sections, problems := inifile.Parse(file, content)
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	found := map[string]inifile.Section{}
	for _, section := range sections {
		_, duplicate := found[section.Name]
		switch {
		case fields.ByName(protoreflect.Name(section.Name)) == nil:
			problems = append(problems, inifile.Problem{File: file, Line: section.Line, Section: section.Name, Detail: "unknown section; allowed: " + sectionNames(fields)})
		case duplicate:
			problems = append(problems, inifile.Problem{File: file, Line: section.Line, Section: section.Name, Detail: "section occurs twice"})
		default:
			found[section.Name] = section
		}
	}
	for i := range fields.Len() {
		name := string(fields.Get(i).Name())
		section, present := found[name]
		if !present {
			section = inifile.Section{File: file, Name: name, Line: 1}
		}
		problems = append(problems, inifile.Decode(section, reflected.Mutable(fields.Get(i)).Message().Interface())...)
	}
	slices.SortStableFunc(problems, func(a, b inifile.Problem) int { return a.Line - b.Line })
	return found, problems
}

func sectionNames(fields protoreflect.FieldDescriptors) string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return strings.Join(names, ", ")
}

package inifile

import (
	"fmt"
	"io"
	"strings"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// WriteReference writes a section with the given name and all keys of message. A comment above
// each key documents it. Keys that are not required are commented out.
func WriteReference(w io.Writer, name string, message proto.Message) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s]\n", name)
	fields := message.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		writeKey(&text, fields.Get(i))
	}
	_, err := io.WriteString(w, text.String())
	return figbank.WrapError("keyfile", "WriteReference", err)
}

func writeKey(text *strings.Builder, field protoreflect.FieldDescriptor) {
	rule := RuleOf(field)
	fmt.Fprintf(text, "\n# %s\n# %s", rule.GetDoc(), typeText(field, rule))
	if limits := limitText(field, rule); limits != "" {
		fmt.Fprintf(text, "; allowed: %s", limits)
	}
	if rule.GetRequired() {
		fmt.Fprintf(text, "; required.\n%s =\n", field.Name())
		return
	}
	fmt.Fprintf(text, ".\n; %s = %s\n", field.Name(), rule.GetDefault())
}

func typeText(field protoreflect.FieldDescriptor, rule *schema.KeyRule) string {
	switch {
	case field.IsList():
		return "List, separated by commas"
	case field.Kind() == protoreflect.MessageKind:
		return "Duration such as 250ms or 5s"
	case field.Kind() == protoreflect.Int64Kind && rule.GetUnit() == unitBytes:
		return "Size such as 64KiB"
	case isNumber(field):
		return "Number of " + rule.GetUnit()
	case field.Kind() == protoreflect.BoolKind:
		return "Boolean"
	default:
		return "Text"
	}
}

func limitText(field protoreflect.FieldDescriptor, rule *schema.KeyRule) string {
	if len(rule.GetAllowed()) > 0 {
		return strings.Join(rule.GetAllowed(), ", ")
	}
	if rule.GetPattern() != "" {
		return "matches " + rule.GetPattern()
	}
	if field.Kind() == protoreflect.MessageKind {
		return rangeText(rule) + " seconds"
	}
	if isNumber(field) {
		return rangeText(rule)
	}
	return ""
}

func isNumber(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.Int64Kind || field.Kind() == protoreflect.DoubleKind
}

package inifile

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"figbank"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Write writes a message whose fields are sections as an INI file that Parse and
// Decode can read. It omits unset sections, unset durations, and all other values
// that are empty or zero. Decode gives an omitted key its default.
func Write(w io.Writer, message proto.Message) error {
	var text strings.Builder
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for i := range fields.Len() {
		if !reflected.Has(fields.Get(i)) {
			continue
		}
		if text.Len() > 0 {
			text.WriteString("\n")
		}
		fmt.Fprintf(&text, "[%s]\n", fields.Get(i).Name())
		writeValues(&text, reflected.Get(fields.Get(i)).Message())
	}
	_, err := io.WriteString(w, text.String())
	return figbank.WrapError("keyfile", "Write", err)
}

func writeValues(text *strings.Builder, section protoreflect.Message) {
	fields := section.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if section.Has(field) {
			fmt.Fprintf(text, "%s = %s\n", field.Name(), valueText(field, section.Get(field)))
		}
	}
}

func valueText(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	switch {
	case field.IsList():
		items := make([]string, value.List().Len())
		for i := range items {
			items[i] = value.List().Get(i).String()
		}
		return strings.Join(items, ", ")
	case field.Kind() == protoreflect.BoolKind && value.Bool():
		return yes
	case field.Kind() == protoreflect.BoolKind:
		return no
	case field.Kind() == protoreflect.MessageKind:
		duration, _ := value.Message().Interface().(*durationpb.Duration)
		return duration.AsDuration().String()
	case field.Kind() == protoreflect.Int64Kind:
		return strconv.FormatInt(value.Int(), 10)
	default:
		return value.String()
	}
}

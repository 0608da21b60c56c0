package inifile

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"figbank"
	"figbank/schema"

	"github.com/dustin/go-humanize"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

const (
	unitBytes = "Bytes"
	yes       = "yes"
	no        = "no"
)

// Decode fills message from the keys of a section. An absent key gets its default,
// or is a problem when it is required. If there are problems, the message is incomplete.
func Decode(section Section, message proto.Message) []Problem {
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	var problems []Problem
	report := func(line int, key, detail string) {
		problems = append(problems, Problem{File: section.File, Line: line, Section: section.Name, Key: key, Detail: detail})
	}
	for _, key := range section.Keys {
		if fields.ByName(protoreflect.Name(key.Name)) == nil {
			report(key.Line, key.Name, "unknown key; allowed: "+strings.Join(fieldNames(fields), ", "))
		}
	}
	for i := range fields.Len() {
		field := fields.Get(i)
		rule := RuleOf(field)
		key, found := section.Find(string(field.Name()))
		if !found {
			key = Key{Name: string(field.Name()), Value: rule.GetDefault(), Line: section.Line}
		}
		if !found && rule.GetRequired() {
			report(section.Line, key.Name, "key is missing")
			continue
		}
		if key.Value == "" && !found {
			continue
		}
		if detail := setField(reflected, field, rule, key.Value); detail != "" {
			report(key.Line, key.Name, detail)
		}
	}
	return problems
}

// Find returns the key with the given name.
func (s Section) Find(name string) (Key, bool) {
	i := slices.IndexFunc(s.Keys, func(k Key) bool { return k.Name == name })
	if i < 0 {
		return Key{}, false
	}
	return s.Keys[i], true
}

// LineOf returns the line of a key, or of the section when the key is absent.
func (s Section) LineOf(name string) int {
	if key, found := s.Find(name); found {
		return key.Line
	}
	return s.Line
}

// RuleOf returns a field's rule, or nil if the field has none. The getters of a nil rule return
// zero values.
func RuleOf(field protoreflect.FieldDescriptor) *schema.KeyRule {
	rule, _ := proto.GetExtension(field.Options(), schema.E_Key).(*schema.KeyRule)
	return rule
}

func fieldNames(fields protoreflect.FieldDescriptors) []string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return names
}

// setField parses text and stores the value in a field. It returns a description of the problem,
// or "" if the text is valid. It may set the field even if the text is invalid.
func setField(message protoreflect.Message, field protoreflect.FieldDescriptor, rule *schema.KeyRule, text string) string {
	if field.IsList() {
		return setList(message, field, rule, text)
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		message.Set(field, protoreflect.ValueOfString(text))
		return checkText(rule, text)
	case protoreflect.BoolKind:
		message.Set(field, protoreflect.ValueOfBool(text == yes))
		return checkText(rule, text)
	case protoreflect.Int64Kind:
		number, detail := parseNumber(rule, text)
		message.Set(field, protoreflect.ValueOfInt64(number))
		return detail
	case protoreflect.DoubleKind:
		decimal, detail := parseDecimal(rule, text)
		message.Set(field, protoreflect.ValueOfFloat64(decimal))
		return detail
	case protoreflect.MessageKind:
		duration, detail := parseDuration(rule, text)
		message.Set(field, protoreflect.ValueOfMessage(durationpb.New(duration).ProtoReflect()))
		return detail
	default:
		return "the type of this key is not supported in INI files"
	}
}

func setList(message protoreflect.Message, field protoreflect.FieldDescriptor, rule *schema.KeyRule, text string) string {
	list := message.Mutable(field).List()
	if text == "" {
		if rule.GetRequired() {
			return "at least one value is needed"
		}
		return ""
	}
	seen := map[string]bool{}
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if detail := checkText(rule, item); detail != "" {
			return detail
		}
		if seen[item] {
			return fmt.Sprintf("%q occurs twice", item)
		}
		seen[item] = true
		list.Append(protoreflect.ValueOfString(item))
	}
	return ""
}

func checkText(rule *schema.KeyRule, text string) string {
	if !figbank.IsText(text) {
		return "bytes that are no UTF-8"
	}
	if allowed := rule.GetAllowed(); len(allowed) > 0 && !slices.Contains(allowed, text) {
		return fmt.Sprintf("%q is not allowed; allowed: %s", text, strings.Join(allowed, ", "))
	}
	if rule.GetRequired() && text == "" {
		return "value is missing"
	}
	if pattern := rule.GetPattern(); pattern != "" && !regexp.MustCompile(pattern).MatchString(text) {
		return fmt.Sprintf("%q is not allowed; it must match %s", text, pattern)
	}
	return ""
}

func parseNumber(rule *schema.KeyRule, text string) (number int64, detail string) {
	number, err := strconv.ParseInt(text, 10, 64)
	if rule.GetUnit() == unitBytes {
		number, err = parseBytes(text)
	}
	if err != nil {
		return 0, fmt.Sprintf("%q is not a whole number of %s", text, rule.GetUnit())
	}
	return number, checkRange(rule, float64(number), text)
}

func parseDecimal(rule *schema.KeyRule, text string) (decimal float64, detail string) {
	decimal, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(decimal) || math.IsInf(decimal, 0) {
		return 0, fmt.Sprintf("%q is not a number of %s", text, rule.GetUnit())
	}
	return decimal, checkRange(rule, decimal, text)
}

func parseBytes(text string) (int64, error) {
	size, err := humanize.ParseBytes(text)
	return int64(min(size, math.MaxInt64)), err //nolint:gosec // bounded by min
}

func parseDuration(rule *schema.KeyRule, text string) (duration time.Duration, detail string) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Sprintf("%q is not a duration such as 250ms or 5s", text)
	}
	return duration, checkRange(rule, duration.Seconds(), text)
}

func checkRange(rule *schema.KeyRule, value float64, text string) string {
	if value < rule.GetLeast() || rule.GetMost() > 0 && value > rule.GetMost() {
		return fmt.Sprintf("%s is out of range; allowed: %s", text, rangeText(rule))
	}
	return ""
}

func rangeText(rule *schema.KeyRule) string {
	least := strconv.FormatFloat(rule.GetLeast(), 'f', -1, 64)
	if rule.GetMost() == 0 {
		return "at least " + least
	}
	return least + " to " + strconv.FormatFloat(rule.GetMost(), 'f', -1, 64)
}

// Check checks the fields of message against their KeyRules. It is for messages that were not read
// from a file. It checks texts, lists and whole numbers, but no durations or decimal numbers. It
// returns a description of the first problem, or "" if there is none.
func Check(message proto.Message) string {
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if detail := checkValue(reflected, field, RuleOf(field)); detail != "" {
			return string(field.Name()) + ": " + detail
		}
	}
	return ""
}

func checkValue(message protoreflect.Message, field protoreflect.FieldDescriptor, rule *schema.KeyRule) string {
	value := message.Get(field)
	switch {
	case field.IsList():
		if rule.GetRequired() && value.List().Len() == 0 {
			return "at least one value is needed"
		}
		for i := range value.List().Len() {
			if detail := checkText(rule, value.List().Get(i).String()); detail != "" {
				return detail
			}
		}
	case field.Kind() == protoreflect.StringKind:
		return checkText(rule, value.String())
	case field.Kind() == protoreflect.Int64Kind:
		return checkRange(rule, float64(value.Int()), strconv.FormatInt(value.Int(), 10))
	}
	return ""
}

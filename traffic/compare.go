package traffic

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// secretField is not printed: the keys of workspaces.
const secretField = "Keys"

// Compare returns in words what rules change that take the place of others: routes by host and prefix, services and workspaces by
// name, and limits.
func Compare(inForce, next *schema.Traffic) []string {
	var changes []string
	add := func(found []string) { changes = append(changes, found...) }
	add(compareAll("route", routesOf(inForce), routesOf(next)))
	add(compareAll("service", byName(inForce.GetServices()), byName(next.GetServices())))
	add(compareAll("workspace", byName(inForce.GetWorkspaces()), byName(next.GetWorkspaces())))
	if fields := changedFields(inForce.GetLimits().ProtoReflect(), next.GetLimits().ProtoReflect()); len(fields) > 0 {
		changes = append(changes, "limits: "+strings.Join(fields, ", "))
	}
	return changes
}

func routesOf(rules *schema.Traffic) map[string]proto.Message {
	found := map[string]proto.Message{}
	for _, route := range rules.GetRoutes() {
		found[route.GetHost()+route.GetPathPrefix()] = route
	}
	return found
}

func byName[M interface {
	proto.Message
	GetName() string
}](messages []M) map[string]proto.Message {
	found := map[string]proto.Message{}
	for _, message := range messages {
		found[message.GetName()] = message
	}
	return found
}

// compareAll compares the entries of one kind, by their names.
func compareAll(kind string, before, after map[string]proto.Message) []string {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, next := before[name], after[name]
		switch {
		case old == nil:
			changes = append(changes, kind+" "+name+": added")
		case next == nil:
			changes = append(changes, kind+" "+name+": removed")
		default:
			if fields := changedFields(old.ProtoReflect(), next.ProtoReflect()); len(fields) > 0 {
				changes = append(changes, kind+" "+name+": "+strings.Join(fields, ", "))
			}
		}
	}
	return changes
}

// changedFields returns each field that differs, with both values.
func changedFields(before, after protoreflect.Message) []string {
	var changed []string
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if before.Get(field).Equal(after.Get(field)) {
			continue
		}
		if field.Name() == secretField {
			changed = append(changed, fmt.Sprintf("%s: %d before, %d after", field.Name(), before.Get(field).List().Len(), after.Get(field).List().Len()))
			continue
		}
		changed = append(changed, fmt.Sprintf("%s %v → %v", field.Name(), textOf(field, before), textOf(field, after)))
	}
	return changed
}

// textOf returns a field's value as a person reads it.
func textOf(field protoreflect.FieldDescriptor, message protoreflect.Message) string {
	value := message.Get(field)
	if field.Kind() == protoreflect.EnumKind && !field.IsList() {
		if known := field.Enum().Values().ByNumber(value.Enum()); known != nil {
			return string(known.Name())
		}
	}
	return strings.TrimSpace(value.String())
}

package rollout

import (
	"cmp"
	"slices"

	"figbank/schema"
)

// Newest returns the newest version named for a model, or nil if there is none.
func Newest(versions []*schema.NamedVersion, model string) *schema.NamedVersion {
	var newest *schema.NamedVersion
	for _, version := range versions {
		if version.GetModel() == model && version.GetVersion() > newest.GetVersion() {
			newest = version
		}
	}
	return newest
}

// Newer returns the versions named for a model that are newer than number, in ascending order.
func Newer(versions []*schema.NamedVersion, model string, number int64) []*schema.NamedVersion {
	var newer []*schema.NamedVersion
	for _, version := range versions {
		if version.GetModel() == model && version.GetVersion() > number {
			newer = append(newer, version)
		}
	}
	slices.SortFunc(newer, func(a, b *schema.NamedVersion) int { return cmp.Compare(a.GetVersion(), b.GetVersion()) })
	return newer
}

// OldestAfter returns the oldest version named for a model that is newer than number, or nil if
// there is none. Of all newer versions, its time limit for requests on older weights ends first.
func OldestAfter(versions []*schema.NamedVersion, model string, number int64) *schema.NamedVersion {
	var first *schema.NamedVersion
	for _, version := range versions {
		newer := version.GetModel() == model && version.GetVersion() > number
		if newer && (first == nil || version.GetVersion() < first.GetVersion()) {
			first = version
		}
	}
	return first
}

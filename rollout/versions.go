package rollout

import "figbank/schema"

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

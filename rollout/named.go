package rollout

import "figbank/schema"

// Newest returns the newest version named for a model, nil when there is none.
func Newest(versions []*schema.NamedVersion, model string) *schema.NamedVersion {
	var newest *schema.NamedVersion
	for _, version := range versions {
		if version.GetModel() == model && version.GetVersion() > newest.GetVersion() {
			newest = version
		}
	}
	return newest
}

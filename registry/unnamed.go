package registry

import (
	"slices"
	"time"

	"figbank"
)

const (
	// unnamedRetention is how long a record of a service that the rules do not name is kept after its last announcement. A
	// leave counts for as long in the log.
	unnamedRetention = 10 * time.Minute
	// maxUnnamed is the largest number of records of such services. Another writer may announce a new id each time.
	maxUnnamed = 1024
)

// Names reports whether the rules name a service. Until they are known, each one counts as named.
func (r *Registry) Names(service figbank.ServiceName) bool {
	return r.services == nil || r.services[service]
}

// SetServices tells which services the rules name. Records of services that are named from now on count as changed. It reports
// whether there are any.
func (r *Registry) SetServices(services map[figbank.ServiceName]bool) bool {
	before := r.services
	r.services = services
	if before == nil {
		return false
	}
	changed := false
	for key := range r.instances {
		if services[key.service] && !before[key.service] {
			r.record(recordKey{instance: key}, true)
			changed = true
		}
	}
	return changed
}

// ForgetUnnamed drops records of services that the rules do not name: those that were announced last longer than
// unnamedRetention ago, and beyond maxUnnamed those that were announced least recently. It returns how many remain.
func (r *Registry) ForgetUnnamed(now time.Time) int {
	var unnamed []instanceKey
	for key, known := range r.instances {
		switch {
		case r.Names(key.service):
		case now.Sub(known.announcedAt) > unnamedRetention:
			delete(r.instances, key)
		default:
			unnamed = append(unnamed, key)
		}
	}
	excess := len(unnamed) - maxUnnamed
	if excess <= 0 {
		return len(unnamed)
	}
	slices.SortFunc(unnamed, func(a, b instanceKey) int {
		return r.instances[a].announcedAt.Compare(r.instances[b].announcedAt)
	})
	for _, key := range unnamed[:excess] {
		delete(r.instances, key)
	}
	return maxUnnamed
}

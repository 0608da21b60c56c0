package feed

import (
	"figbank"
	"figbank/traffic"

	"go.uber.org/zap"
)

// followServices tells the registry which services the rules of the newest fleet state name. Before the first rules, and if they
// cannot be read, it stays with what it was told. Only processes that serve feeds need it.
func (v *View) followServices() {
	v.naming.Lock()
	defer v.naming.Unlock()
	fleet := v.fleet.Current()
	if fleet.GetTrafficNumber() == v.rules {
		return
	}
	v.rules = fleet.GetTrafficNumber()
	rules, err := traffic.UnpackRules(fleet.GetPackedTraffic())
	if err != nil {
		v.common.Log.Error("cannot read which services the rules name", zap.Int64("rules", v.rules), figbank.ErrorField(err))
		return
	}
	services := make(map[figbank.ServiceName]bool, len(rules.GetServices()))
	for _, service := range rules.GetServices() {
		services[figbank.ServiceName(service.GetName())] = true
	}
	v.mu.Lock()
	changed := v.registry.SetServices(services)
	v.mu.Unlock()
	v.notifyOf(changed, false, memberChange{})
}

// Names reports whether the rules in force name a service. Until there are rules, each one counts as named.
func (v *View) Names(service figbank.ServiceName) bool {
	v.followServices()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Names(service)
}

package staging

// The actions that an agent can take for its engine.
const (
	// ActionWait means to wait until something changes.
	ActionWait Action = iota
	// ActionFetch means to fetch the wanted version to this host.
	ActionFetch
	// ActionSeed means to store the version that the engine already serves, so that
	// other hosts can fetch it.
	ActionSeed
	// ActionDrain means to take the engine out of service, so that its running
	// requests end while the last pieces arrive.
	ActionDrain
	// ActionSwitch means to stage the wanted version and order the engine to load it.
	ActionSwitch
)

// drainShare is the share of a version that must be on this host before the engine starts to
// drain. Fetching the rest takes about as long as the running requests take to end.
const drainShare = 0.6

type (
	// Action is what an agent does next for its engine.
	Action int

	// DecisionInput holds everything that the decision depends on.
	DecisionInput struct {
		// Known is set if the model and the origin of the wanted version are known.
		Known bool
		// Loaded and Wanted are version numbers. Loaded is 0 if the engine has no version
		// loaded.
		Loaded, Wanted int64
		// Layers is the number of layers that the engine has loaded. AllLayers is the number
		// of layers of the model.
		Layers, AllLayers int64
		// Busy is set while the engine carries out an order.
		Busy bool
		// HeldShare is the share of the wanted version that is on this host, from 0 to 1,
		// while the version is being fetched.
		HeldShare float64
		// InSight is set if hosts are known to hold all of that version together. Without that the rest of it may be long in
		// coming, for instance while the origin is lost.
		InSight bool
		// Held is set if the complete wanted version is on this host.
		Held bool
		// MaySwitch is set if the other upstreams have enough capacity for this one to
		// leave service.
		MaySwitch bool
		// Wrong is set if the engine has loaded pieces that were found wrong. It is out of service.
		Wrong bool
	}
)

// Decide returns what to do next. An engine that has no version loaded, or lacks layers, switches
// as soon as the wanted version is on this host and the engine is not busy. An engine with all
// layers also waits until it may leave service, unless its weights were found wrong.
func Decide(input DecisionInput) Action {
	allLayersLoaded := input.Layers >= input.AllLayers
	switch {
	case !input.Known:
		return ActionWait
	case input.Loaded == input.Wanted && allLayersLoaded && !input.Wrong:
		return decideServing(input)
	case input.Held:
		return decideHeld(input, allLayersLoaded)
	case input.Loaded > 0 && input.MaySwitch && input.HeldShare >= drainShare && input.InSight:
		return ActionDrain
	}
	return ActionFetch
}

// decideServing returns what to do if the engine serves the wanted version: store the version for
// other hosts if it is not on this host yet.
func decideServing(input DecisionInput) Action {
	if input.Held {
		return ActionWait
	}
	return ActionSeed
}

// decideHeld returns what to do if the wanted version is on this host: switch,
// unless the engine is busy or may not leave service yet.
func decideHeld(input DecisionInput, allLayersLoaded bool) Action {
	incomplete := input.Loaded == 0 || !allLayersLoaded || input.Wrong
	if !input.Busy && (incomplete || input.MaySwitch) {
		return ActionSwitch
	}
	return ActionWait
}

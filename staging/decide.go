package staging

// What an agent does next for its engine.
const (
	// Wait until something changes.
	Wait Action = iota
	// Collect brings the wanted version to this host.
	Collect
	// Seed keeps the pieces that the engine already has, for other hosts.
	Seed
	// Drain lets running requests end while the last pieces arrive.
	Drain
	// Switch stages the wanted version and orders the engine to start it.
	Switch
)

// drainShare is how much of a version is here when the engine begins to drain:
// the rest takes about as long to arrive as running requests take to end.
const drainShare = 0.6

type (
	// Action is a decision.
	Action int

	// Situation is all that the decision depends on.
	Situation struct {
		// Known is set when the engine's state, the wanted version and where to get
		// it from are.
		Known bool
		// Loaded and Wanted are versions; an engine that holds none has loaded 0.
		Loaded, Wanted int64
		// Layers is how many layers the engine has loaded, AllLayers how many there are.
		Layers, AllLayers int64
		// Busy engines are carrying out an order.
		Busy bool
		// HeldShare is the part of the wanted version that this host holds, 0 to 1.
		HeldShare float64
		// Held is set when this host holds the whole wanted version.
		Held bool
		// MaySwitch is set when the others leave enough capacity.
		MaySwitch bool
	}
)

// Decide says what to do next. An empty engine switches as soon as it can; one
// that serves waits for its turn.
func Decide(s Situation) Action {
	whole := s.Layers >= s.AllLayers
	switch {
	case !s.Known:
		return Wait
	case s.Loaded == s.Wanted && whole:
		return decideServing(s)
	case s.Held:
		return decideHeld(s, whole)
	case s.Loaded > 0 && s.MaySwitch && s.HeldShare >= drainShare:
		return Drain
	}
	return Collect
}

// decideServing keeps the pieces for others once the engine serves them.
func decideServing(s Situation) Action {
	if s.Held {
		return Wait
	}
	return Seed
}

// decideHeld switches once nothing speaks against it.
func decideHeld(s Situation, whole bool) Action {
	empty := s.Loaded == 0 || !whole
	if !s.Busy && (empty || s.MaySwitch) {
		return Switch
	}
	return Wait
}

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
	serving := s.Loaded == s.Wanted && s.Layers >= s.AllLayers
	switch {
	case !s.Known:
		return Wait
	case serving && !s.Held:
		return Seed
	case serving:
		return Wait
	case !s.Held && s.Loaded > 0 && s.MaySwitch && s.HeldShare >= drainShare:
		return Drain
	case !s.Held:
		return Collect
	case s.Busy:
		return Wait
	case s.Loaded == 0 || s.Layers < s.AllLayers || s.MaySwitch:
		return Switch
	}
	return Wait
}

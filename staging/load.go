package staging

import (
	"context"
	"time"

	"go.uber.org/zap"

	"figbank"
)

const (
	// maxReadAge is how long before an order is accepted its pieces may have been read back. A piece that
	// turns bad later than that may be loaded, since it cannot be noticed in time.
	maxReadAge = 2500 * time.Millisecond
	// maxRereads is how often the pieces are read back again before an order because the last reading
	// has become too old. On a slow host every reading does.
	maxRereads = 2
)

// The outcomes of an order to load.
const (
	// loadPending means that the engine has not accepted the order. It may still do so.
	loadPending loadOutcome = iota
	// loadRunning means that the engine carries the order out.
	loadRunning
	// loadVerified means that the engine has loaded pieces that were right when it accepted the order.
	loadVerified
	// loadUnverified means that the engine has loaded pieces of which that is not known.
	loadUnverified
	// loadLost means that the engine has restarted and has nothing loaded any more.
	loadLost
)

type (
	loadOutcome int

	// orderedLoad is an order to load that the engine was sent. Callers may be sent to the engine only
	// if every piece was right when the engine accepted the order. A check before the order alone does
	// not show that: this process may stand still after it, or the order may arrive late.
	orderedLoad struct {
		version       int64
		bornUnixMilli int64
		// orders is the number of orders that the engine had accepted before.
		orders uint64
		// accepted is set once a report has shown that the engine accepted the order. A later report may
		// be faulty, or older.
		accepted bool
		// inTime is set if the engine confirmed within maxReadAge after the reading of the first
		// piece that it accepted the order.
		inTime bool
		// wrong is set if pieces were wrong when they were read after the engine had accepted the order.
		wrong bool
		// alreadyLoaded is set if the engine did not load the version because it has it loaded.
		alreadyLoaded bool
		// replacesUnverified is set if what the engine had loaded before the order is not verified either.
		replacesUnverified bool
	}
)

// noteRestart notes that the engine restarted before it accepted the order and accepted it after that: only this
// process gives orders. What it has loaded was staged in part in the run before, and is thus unverified.
func (l *orderedLoad) noteRestart(report Report) {
	if !l.accepted && report.BornUnixMilli != l.bornUnixMilli && report.BornUnixMilli != 0 && report.Orders > 0 {
		l.bornUnixMilli, l.orders, l.inTime = report.BornUnixMilli, 0, false
	}
}

// outcome returns what has become of the order, given the engine's state.
func (l *orderedLoad) outcome(report Report) loadOutcome {
	switch {
	case report.BornUnixMilli != l.bornUnixMilli && report.BornUnixMilli != 0:
		return loadLost
	case report.Orders <= l.orders && !l.accepted:
		return loadPending
	case report.Busy:
		return loadRunning
	case l.inTime:
		return loadVerified
	}
	return loadUnverified
}

// withheld reports whether callers must not be sent to the engine because of the order. l may be nil.
func (l *orderedLoad) withheld(report Report) bool {
	if l == nil {
		return false
	}
	switch l.outcome(report) {
	case loadRunning, loadUnverified:
		return true
	case loadPending:
		return l.replacesUnverified
	default:
		return false
	}
}

// mustReload reports whether what the engine has loaded was found wrong, so that it has to load again.
// l may be nil.
func (l *orderedLoad) mustReload(report Report) bool {
	if l == nil {
		return false
	}
	return l.wrong && l.outcome(report) == loadUnverified || l.replacesUnverified && l.outcome(report) == loadPending
}

// mayOrder reports whether an order may be sent for pieces whose reading began the given time ago. After
// maxRereads it may be sent in any case, and the pieces are read once more afterwards.
func mayOrder(age time.Duration, rereads int) bool {
	return age <= maxReadAge || rereads >= maxRereads
}

// settleLoad clears the order that was sent last once what it loaded is verified or lost. If the order was
// not accepted in time, settleLoad reads the staged pieces again. Pieces that are right now were right
// when the engine accepted the order, since only this process stages pieces.
func (s *Stager) settleLoad(ctx context.Context, report Report) {
	if s.load == nil {
		return
	}
	s.load.noteRestart(report)
	outcome := s.load.outcome(report)
	s.load.accepted = outcome != loadPending
	switch outcome {
	case loadVerified, loadLost:
		s.load = nil
	case loadUnverified:
		s.verifyLoad(ctx, report)
	case loadPending, loadRunning:
	}
}

// verifyLoad reads what the engine has loaded without proof, and records whether it is right.
func (s *Stager) verifyLoad(ctx context.Context, report Report) {
	if s.load.wrong {
		return
	}
	if report.Loaded.GetVersion() != s.load.version {
		s.load.wrong = true
		return
	}
	source, version := s.heldNumber(s.load.version)
	if version == nil {
		// Without its digests nothing can be verified. They come with the version, unless another one is
		// wanted by now, which the engine then loads at once.
		s.load.wrong = s.fetching.cancel != nil && s.fetching.source.Version != s.load.version
		return
	}
	for i := range version.Manifest.GetChunks() {
		right, err := s.stagedCorrectly(ctx, source.Model, version, figbank.ChunkIndex(i))
		if err != nil {
			s.common.Log.Warn("reading a loaded piece failed", zap.Int("piece", i), figbank.ErrorField(err))
			return
		}
		if !right {
			s.load.wrong = true
			s.common.Log.Warn("loaded weights cannot be verified, loading them again", zap.Int64("version", s.load.version), zap.Int("piece", i))
			return
		}
	}
	s.common.Log.Info("loaded weights verified after the order", zap.Int64("version", s.load.version))
	s.load = nil
}

// awaitPreviousState waits until a replica feeds this process, and reports whether an earlier process took
// the engine out of service for a switch that it did not end. It returns the engine's birth then.
func (s *Stager) awaitPreviousState(ctx context.Context) (bornUnixMilli int64, switching bool) {
	ticks, stop := s.common.Clock.Tick(pollInterval)
	defer stop()
	for len(s.view.Members()) == 0 {
		select {
		case <-ctx.Done():
			return 0, false
		case <-ticks:
		}
	}
	if known := s.view.Engine(figbank.Address(s.settings.Member.GetUpstream())); known.GetSwitching() {
		return known.GetBornUnixMilli(), true
	}
	return 0, false
}

// resumeLoad treats what the engine has loaded as unverified, after an earlier process did not end a switch.
func (s *Stager) resumeLoad(report Report, bornUnixMilli int64) {
	if report.BornUnixMilli != bornUnixMilli {
		return
	}
	s.common.Log.Info("an earlier process did not end a switch", zap.Int64("version", report.Loaded.GetVersion()), zap.Uint64("orders", report.Orders))
	s.load = &orderedLoad{version: report.Loaded.GetVersion(), bornUnixMilli: bornUnixMilli}
}

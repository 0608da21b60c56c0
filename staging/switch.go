package staging

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/weights"
)

// switchTo stages a version, orders the engine to load it, and waits until the engine has carried
// out the order. It gives up after switchTimeout. before is the engine's state when the switch was decided; an
// engine that has restarted since has lost what was staged. If the engine has a version loaded, switchTo announces
// before the order that it leaves service.
func (s *Stager) switchTo(ctx context.Context, source Source, version *weights.Version, before Report) {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	began := s.common.Clock.Now()
	readAt, err := s.stage(ctx, source.Model, version)
	if err != nil {
		s.common.Log.Warn("staging weights failed", zap.Int64("version", source.Version), figbank.ErrorField(err))
		return
	}
	report, ready := s.readyReport(ctx, before)
	if !ready {
		return
	}
	announced := s.state.GetSwitching()
	s.publish(report, true)
	if before.Loaded.GetVersion() > 0 && !announced {
		<-s.common.Clock.After(switchNoticeTime)
	}
	for rereads := 0; !mayOrder(s.settings.Boot.SinceBoot()-readAt, rereads); rereads++ {
		if readAt, err = s.readBack(ctx, source.Model, version); err != nil {
			s.common.Log.Warn("reading staged weights again failed", zap.Int64("version", source.Version), figbank.ErrorField(err))
			return
		}
	}
	if report, ready = s.readyReport(ctx, before); !ready {
		return
	}
	err = s.order(ctx, source, report, readAt)
	s.common.Log.Info("ordered the engine to load the staged version", zap.Int64("version", source.Version), zap.Int64("from", report.Loaded.GetVersion()),
		zap.Int64("running", report.Running), zap.Duration("staging", s.common.Clock.Now().Sub(began)), zap.Bool("accepted", err == nil),
		zap.Bool("inTime", s.load.inTime), zap.Bool("alreadyLoaded", s.load.alreadyLoaded), zap.Int64("born", report.BornUnixMilli))
	if err != nil {
		// The engine may have accepted the order even so. Its next report will show that.
		s.common.Log.Warn("ordering the engine to load failed", figbank.ErrorField(err))
		<-s.common.Clock.After(retryDelay)
		return
	}
	s.awaitSwitch(ctx, source.Version, report)
}

// readyReport returns the engine's state, and whether it may be ordered to load what was staged since before: it is
// not busy and has not restarted.
func (s *Stager) readyReport(ctx context.Context, before Report) (Report, bool) {
	report, err := s.engine.Report(ctx)
	if err != nil || report.Busy {
		return report, false
	}
	if report.BornUnixMilli != before.BornUnixMilli {
		s.common.Log.Info("the engine restarted while weights were staged", zap.Int64("born", report.BornUnixMilli), zap.Int64("before", before.BornUnixMilli))
		return report, false
	}
	return report, true
}

// order orders the engine to load the staged version. before is the engine's state. readAt is when
// the last reading of all pieces began.
func (s *Stager) order(ctx context.Context, source Source, before Report, readAt time.Duration) error {
	unverified := s.load.withheld(before)
	s.load = &orderedLoad{version: source.Version, bornUnixMilli: before.BornUnixMilli, orders: before.Orders, replacesUnverified: unverified}
	begun, err := s.engine.Start(ctx, source.Model, source.Version, before.Orders)
	if err != nil {
		return err
	}
	s.load.inTime = begun && s.settings.Boot.SinceBoot()-readAt <= maxReadAge
	s.load.alreadyLoaded = !begun
	return nil
}

// awaitSwitch polls the engine until it serves the version, has restarted, or has ended the order
// without serving the version. Then it publishes the engine's state. If ctx ends first, it
// publishes nothing.
func (s *Stager) awaitSwitch(ctx context.Context, version int64, before Report) {
	for ctx.Err() == nil {
		<-s.common.Clock.After(pollInterval / 2)
		report, err := s.engine.Report(ctx)
		if err != nil {
			continue
		}
		restarted := report.BornUnixMilli != before.BornUnixMilli
		if report.Loaded.GetVersion() == version && !report.Busy || restarted || report.Orders > before.Orders && !report.Busy {
			s.settleLoad(ctx, report)
			s.publish(report, s.load.withheld(report))
			s.common.Log.Info("switch has ended", zap.Int64("version", report.Loaded.GetVersion()), zap.Int64("layers", report.Loaded.GetLayers()))
			return
		}
	}
}

// stage stages all pieces. The engine loads what is staged without verifying it, so stage then
// reads all pieces back. It returns when that reading began, on the clock that goes on while the host
// is suspended.
func (s *Stager) stage(ctx context.Context, model string, version *weights.Version) (readAt time.Duration, err error) {
	for i := range version.Manifest.GetChunks() {
		if err := s.stagePiece(ctx, model, version, figbank.ChunkIndex(i)); err != nil {
			return 0, err
		}
	}
	return s.readBack(ctx, model, version)
}

// readBack reads all staged pieces. It stages a piece again if the piece does not read back correctly.
// It returns when it began.
func (s *Stager) readBack(ctx context.Context, model string, version *weights.Version) (readAt time.Duration, err error) {
	readAt = s.settings.Boot.SinceBoot()
	for i := range version.Manifest.GetChunks() {
		piece := figbank.ChunkIndex(i)
		if right, err := s.stagedCorrectly(ctx, model, version, piece); right && err == nil {
			continue
		}
		if err := s.stagePiece(ctx, model, version, piece); err != nil {
			return 0, err
		}
	}
	return readAt, nil
}

// stagePiece stages one piece until the piece reads back correctly. It returns a CorruptError after
// maxStageAttempts.
func (s *Stager) stagePiece(ctx context.Context, model string, version *weights.Version, piece figbank.ChunkIndex) error {
	content, err := version.ReadChunk(piece)
	if err != nil {
		return err
	}
	for range maxStageAttempts {
		if err = s.engine.Put(ctx, model, int(piece), content); err != nil {
			return err
		}
		if right, err := s.stagedCorrectly(ctx, model, version, piece); right && err == nil {
			return nil
		}
	}
	return figbank.CorruptError{Subject: "staged piece", Detail: "content read back does not match its SHA-256"}
}

// stagedCorrectly reports whether a staged piece reads back correctly. It returns an error if the piece
// cannot be read.
func (s *Stager) stagedCorrectly(ctx context.Context, model string, version *weights.Version, piece figbank.ChunkIndex) (bool, error) {
	staged, err := s.engine.Get(ctx, model, int(piece))
	if err != nil {
		return false, err
	}
	sum := sha256.Sum256(staged)
	return bytes.Equal(sum[:], version.Manifest.GetChunks()[piece].GetDigest()), nil
}

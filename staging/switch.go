package staging

import (
	"bytes"
	"context"
	"crypto/sha256"

	"go.uber.org/zap"

	"figbank"
	"figbank/weights"
)

// switchTo stages a version, orders the engine to load it, and waits until the engine has carried
// out the order. It gives up after switchTimeout. serving must be set if the engine has a version
// loaded. switchTo then announces before the order that the engine leaves service.
func (s *Stager) switchTo(ctx context.Context, wanted target, version *weights.Version, serving bool) {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	began := s.common.Clock.Now()
	if err := s.stage(ctx, wanted.source.Model, version); err != nil {
		s.common.Log.Warn("staging weights failed", zap.Int64("version", wanted.source.Version), figbank.ErrorField(err))
		return
	}
	report, err := s.engine.Report(ctx)
	if err != nil || report.Busy {
		return
	}
	if serving && !s.state.GetSwitching() {
		s.publish(report, true)
		<-s.common.Clock.After(switchNoticeTime)
	}
	err = s.engine.Start(ctx, wanted.source.Model, wanted.source.Version, report.Orders)
	s.common.Log.Info("ordered the engine to load the staged version", zap.Int64("version", wanted.source.Version), zap.Int64("from", report.Loaded.GetVersion()),
		zap.Int64("running", report.Running), zap.Duration("staging", s.common.Clock.Now().Sub(began)), zap.Bool("accepted", err == nil))
	if err != nil {
		// The engine may have accepted the order even so. Its next report will show that.
		s.common.Log.Warn("ordering the engine to load failed", figbank.ErrorField(err))
		<-s.common.Clock.After(retryDelay)
		return
	}
	s.awaitSwitch(ctx, wanted.source.Version, report)
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
			s.publish(report, false)
			s.common.Log.Info("switch has ended", zap.Int64("version", report.Loaded.GetVersion()), zap.Int64("layers", report.Loaded.GetLayers()))
			return
		}
	}
}

// stage stages all pieces. The engine loads what is staged without verifying it, so stage then
// reads all pieces back, right before the order. It stages a piece again if the piece does not read
// back correctly.
func (s *Stager) stage(ctx context.Context, model string, version *weights.Version) error {
	for i := range version.Manifest.GetChunks() {
		if err := s.stagePiece(ctx, model, version, figbank.ChunkIndex(i)); err != nil {
			return err
		}
	}
	for i := range version.Manifest.GetChunks() {
		piece := figbank.ChunkIndex(i)
		if s.stagedCorrectly(ctx, model, version, piece) {
			continue
		}
		if err := s.stagePiece(ctx, model, version, piece); err != nil {
			return err
		}
	}
	return nil
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
		if s.stagedCorrectly(ctx, model, version, piece) {
			return nil
		}
	}
	return figbank.CorruptError{Subject: "staged piece", Detail: "content read back does not match its SHA-256"}
}

func (s *Stager) stagedCorrectly(ctx context.Context, model string, version *weights.Version, piece figbank.ChunkIndex) bool {
	staged, err := s.engine.Get(ctx, model, int(piece))
	if err != nil {
		return false
	}
	sum := sha256.Sum256(staged)
	return bytes.Equal(sum[:], version.Manifest.GetChunks()[piece].GetDigest())
}

package staging

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/weights"
)

// collect brings a version to this host in the background.
func (s *Stager) collect(ctx context.Context, source Source) {
	if s.collected.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.collected = collection{source: source, cancel: cancel}
	go func() {
		for ctx.Err() == nil {
			err := s.bring(ctx, source)
			if err == nil {
				return
			}
			s.common.Log.Warn("weights did not arrive", zap.Int64("version", source.Version), figbank.ErrorField(err))
			select {
			case <-ctx.Done():
			case <-s.common.Clock.After(spread(retryDelay)):
			}
		}
	}()
}

// spread draws a delay around the given one, so that hosts that were refused
// together do not all come back together.
func spread(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay) //nolint:gosec // spreads load, no secret
}

func (s *Stager) abandon() {
	s.drainedAt = time.Time{}
	if s.collected.cancel != nil {
		s.collected.cancel()
	}
	s.collected = collection{}
}

func (s *Stager) bring(ctx context.Context, source Source) error {
	began := s.common.Clock.Now()
	digests, err := s.origin.Digests(ctx, source)
	if err != nil {
		return err
	}
	content, digest, err := manifestOf(source, digests)
	if err != nil {
		return err
	}
	staged, err := s.takeStaged(ctx, source, content, digest)
	if err != nil {
		return err
	}
	whole, err := s.fetcher.FetchListed(withSource(ctx, source), content, digest)
	if err != nil {
		return err
	}
	s.keep(source, whole)
	s.common.Log.Info("weights are whole", zap.Int64("version", source.Version), zap.Int("fromEngine", staged),
		zap.Int("pieces", len(digests.SHA256)), zap.Duration("took", s.common.Clock.Now().Sub(began)))
	return nil
}

// takeStaged keeps the pieces that the engine beside this agent still has.
func (s *Stager) takeStaged(ctx context.Context, source Source, content []byte, digest figbank.ManifestDigest) (int, error) {
	if s.store.Whole(digest) != nil {
		return 0, nil
	}
	partial, err := s.store.Begin(content, digest)
	if err != nil {
		return 0, err
	}
	strange := 0
	for i := range partial.Version().Manifest.GetChunks() {
		piece, err := s.engine.Get(ctx, source.Model, i)
		if err == nil {
			err = partial.Put(figbank.ChunkIndex(i), piece)
		}
		if err != nil {
			strange++
		}
		if strange > strangePieces {
			break
		}
	}
	return partial.Count(), nil
}

// keep remembers a whole version and drops those that nobody needs any more:
// peers may still fetch the one before.
func (s *Stager) keep(source Source, whole *weights.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[source] = whole
	maps.DeleteFunc(s.held, func(old Source, _ *weights.Version) bool {
		return old.Version < source.Version-1
	})
	if err := s.store.Retain([]figbank.ManifestDigest{whole.Digest}, versionsKept); err != nil {
		s.common.Log.Warn("old weights stay", figbank.ErrorField(err))
	}
}

func (s *Stager) whole(source Source) *weights.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[source]
}

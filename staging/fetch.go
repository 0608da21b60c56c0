package staging

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/transfer"
	"figbank/weights"
)

// startFetch fetches a version to this host in the background, and retries until the version is
// complete. It does nothing if a fetch was started earlier and not canceled. A canceled fetch ends
// before the new one begins, since both use the same fetcher.
func (s *Stager) startFetch(ctx context.Context, wanted target) {
	if s.fetching.cancel != nil {
		return
	}
	previous, source := s.fetching.ended, wanted.fetch
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	s.fetching = fetchJob{source: source, startedAt: s.common.Clock.Now(), cancel: cancel, ended: ended}
	go func() {
		defer close(ended)
		if previous != nil {
			<-previous
		}
		for ctx.Err() == nil {
			err := s.fetch(ctx, wanted)
			if err == nil || ctx.Err() != nil {
				return
			}
			s.common.Log.Warn("fetching weights failed", zap.Int64("version", source.Version), figbank.ErrorField(err))
			select {
			case <-ctx.Done():
			case <-s.common.Clock.After(jitter(retryDelay)):
			}
		}
	}()
}

// jitter returns a random delay between 0.5 and 1.5 times the given one, so that hosts that were
// refused at the same time do not all retry at the same time.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay) //nolint:gosec // spreads load, no secret
}

// cancelFetch cancels the fetch, if any, so that another one can be started. It does not wait for
// the canceled fetch to end.
func (s *Stager) cancelFetch() {
	s.drainedAt = time.Time{}
	if s.fetching.cancel != nil {
		s.fetching.cancel()
	}
	s.fetching = fetchJob{ended: s.fetching.ended}
}

func (s *Stager) fetch(ctx context.Context, wanted target) error {
	source := wanted.fetch
	began := s.common.Clock.Now()
	isNew := s.namedWithin(source, newVersionTime)
	digests, err := s.digests(ctx, source)
	if err != nil {
		return err
	}
	content, digest, err := manifestOf(source, digests)
	if err != nil {
		return err
	}
	reused, err := s.reuseStaged(ctx, source, content, digest)
	if err != nil {
		return err
	}
	version, err := s.fetcher.FetchKnown(withSource(ctx, source), transfer.Want{
		Manifest: content, Digest: digest, OriginRate: wanted.originRate, HeldByPeers: s.servedElsewhere(source.Version),
		New: isNew,
	})
	if errors.As(err, new(transfer.ManifestDoubtError)) && s.settings.Lists != nil {
		s.doubted = source
		s.settings.Lists.forget(source)
	}
	if err != nil {
		return err
	}
	s.keepVersion(source, version)
	s.common.Log.Info("weights are complete", zap.Int64("version", source.Version), zap.Int("fromEngine", reused),
		zap.Int("pieces", len(digests.SHA256)), zap.Duration("took", s.common.Clock.Now().Sub(began)))
	return nil
}

// reuseStaged reads the pieces that are already staged at the engine and stores those that belong
// to the version. It stops when more than maxMismatches pieces were unusable. It returns how many
// chunks of the version are then on disk. If the version was complete before, it returns 0.
func (s *Stager) reuseStaged(ctx context.Context, source Source, content []byte, digest figbank.ManifestDigest) (int, error) {
	if s.store.Version(digest) != nil {
		return 0, nil
	}
	partial, err := s.store.Begin(content, digest)
	if err != nil {
		return 0, err
	}
	mismatches := 0
	for i := range partial.Version().Manifest.GetChunks() {
		piece, err := s.engine.Get(ctx, source.Model, i)
		if err == nil {
			err = partial.Put(figbank.ChunkIndex(i), piece)
		}
		if err != nil {
			mismatches++
		}
		if mismatches > maxMismatches {
			break
		}
	}
	return partial.Count(), nil
}

// keepVersion records a complete version and removes older versions. It keeps the previous version,
// because peers may still fetch it.
func (s *Stager) keepVersion(source Source, version *weights.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[source] = version
	maps.DeleteFunc(s.held, func(old Source, _ *weights.Version) bool {
		return old.Version < source.Version-1
	})
	if err := s.store.Retain([]figbank.ManifestDigest{version.Digest}, versionsKept); err != nil {
		s.common.Log.Warn("removing old weights failed", figbank.ErrorField(err))
	}
}

// heldNumber returns the complete version with a number, or nil.
func (s *Stager) heldNumber(number int64) (Source, *weights.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for source, version := range s.held {
		if source.Version == number {
			return source, version
		}
	}
	return Source{}, nil
}

// heldOther returns another complete version of the same model, or nil. An engine that has wrong
// pieces of a version loaded loads that version again only after another one.
func (s *Stager) heldOther(wanted Source) (Source, *weights.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for source, version := range s.held {
		if source.Model == wanted.Model && source.Version != wanted.Version {
			return source, version
		}
	}
	return Source{}, nil
}

func (s *Stager) heldVersion(source Source) *weights.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[source]
}

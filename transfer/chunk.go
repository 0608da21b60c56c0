package transfer

import (
	"context"
	"errors"
	"time"

	"figbank"
	"figbank/origin"
	"figbank/schema"
	"figbank/swarm"
	"figbank/weights"

	"google.golang.org/protobuf/encoding/protodelim"
)

// fetch fetches one chunk and writes it to disk.
func (f *Fetcher) fetch(ctx context.Context, fetch swarm.Fetch, partial *weights.PartialVersion) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.StallTime)
	defer cancel()
	length := figbank.Bytes(weights.ChunkLength(partial.Version().Manifest.GetChunks()[fetch.Chunk]))
	if err := f.pacer.wait(ctx, length); err != nil {
		return err
	}
	content, err := f.fetchTimed(ctx, fetch, partial, length)
	if err != nil {
		if failure, _ := classify(err); failure == swarm.FailureBusy {
			f.pacer.refund(length)
		}
		return err
	}
	if err := partial.Put(fetch.Chunk, content); err != nil {
		f.event("BadChunk", chunkName(fetch), string(fetch.Peer))
		return err
	}
	f.active.notify(f.common.Clock.Now())
	f.event("Chunk", chunkName(fetch), string(fetch.Peer))
	f.common.Scope.Counter("chunks").Inc(1)
	return nil
}

// fetchTimed fetches a chunk and reports the duration to the estimate of the link.
func (f *Fetcher) fetchTimed(ctx context.Context, fetch swarm.Fetch, partial *weights.PartialVersion, length figbank.Bytes) ([]byte, error) {
	began := f.common.Clock.Now()
	answer, err := f.fetchContent(ctx, fetch, partial, length)
	took := f.common.Clock.Now().Sub(began)
	if err != nil {
		// A fetch that failed early, for example because the peer refused it, shows nothing
		// about the link. A fetch that failed late counts as a slow chunk.
		if took >= f.settings.StallTime/2 && fetch.Peer != "" {
			f.settings.Link.observe(length, took, 1)
		}
		return nil, err
	}
	if fetch.Peer == "" {
		f.settings.Link.observeOrigin(length, took)
		return answer.content, nil
	}
	bytes, transferTime := answer.afterFirstPart(took)
	f.settings.Link.observe(bytes, transferTime, answer.concurrent)
	return answer.content, nil
}

func (f *Fetcher) fetchContent(ctx context.Context, fetch swarm.Fetch, partial *weights.PartialVersion, length figbank.Bytes) (*received, error) {
	if fetch.Peer == "" {
		f.common.Scope.Counter("origin_bytes").Inc(int64(length))
		content, err := f.origin.Chunk(ctx, partial.Version(), fetch.Chunk)
		return &received{content: content}, err
	}
	request := &schema.ChunkRequest{
		Manifest: string(partial.Version().Digest), Chunk: uint32(fetch.Chunk), BytesPerSecond: int64(f.settings.Link.RequestRate()),
	}
	return f.receiveParts(ctx, fetch.Address, schema.StreamKind_STREAM_KIND_CHUNK, request, length)
}

// classify converts the error of a fetch to a Failure for the plan. It also returns how long the
// source asked to wait before the next attempt, or 0 if it did not ask.
func classify(err error) (swarm.Failure, time.Duration) {
	var limited origin.RateLimitedError
	var corrupt figbank.CorruptError
	var refused PeerRefusedError
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &limited):
		return swarm.FailureBusy, limited.RetryAfter
	case errors.As(err, &corrupt), errors.As(err, &tooLarge):
		return swarm.FailureCorrupt, 0
	case errors.As(err, &refused) && refused.Busy:
		return swarm.FailureBusy, 0
	case errors.As(err, &refused):
		return swarm.FailureMissing, 0
	}
	return swarm.FailureUnreachable, 0
}

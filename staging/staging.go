// Package staging brings the named weights to the engine beside an agent:
// fetched and verified, staged, read back, and only then ordered to start.
package staging

import (
	"context"
	"encoding/hex"
	"strconv"

	"figbank"
	"figbank/schema"
	"figbank/weights"
)

type (
	// Report is the state of an engine.
	Report struct {
		// Loaded is empty when the engine holds no whole model.
		Loaded *schema.LoadedWeights
		// Busy engines are carrying out an order.
		Busy bool
		// Orders counts the orders taken since the start.
		Orders        uint64
		BornUnixMilli int64
		Running       int64
	}

	// Engine is the engine beside this agent.
	Engine interface {
		// Report asks for the engine's state.
		Report(ctx context.Context) (Report, error)
		// Start orders the engine to load what is staged, once running requests have
		// ended. The engine refuses unless it has taken exactly orders before.
		Start(ctx context.Context, model string, version int64, orders uint64) error
		// Put stages one piece; the engine does not check it.
		Put(ctx context.Context, model string, piece int, content []byte) error
		// Get reads a staged piece back.
		Get(ctx context.Context, model string, piece int) ([]byte, error)
	}

	// Source is where the origin has a version.
	Source struct {
		Address figbank.Address
		Model   string
		Version int64
	}

	// Digests lists the pieces of one version, all but the last of PieceBytes.
	Digests struct {
		PieceBytes int64
		// SHA256 holds 64 hex digits for each piece.
		SHA256 []string
	}

	// Origin is the store that has every named version.
	Origin interface {
		// Digests lists the digests of a version's pieces.
		Digests(ctx context.Context, source Source) (Digests, error)
		// Piece fetches one piece; the caller checks it.
		Piece(ctx context.Context, source Source, piece int) ([]byte, error)
	}
)

// manifestOf describes a version's pieces as chunks of one file, the same on
// every host, so that agents can fetch them from each other.
func manifestOf(source Source, digests Digests) ([]byte, figbank.ManifestDigest, error) {
	name := source.Model + "-" + strconv.FormatInt(source.Version, 10)
	manifest := &schema.Manifest{Files: []*schema.ManifestFile{{Path: name, Size: digests.PieceBytes * int64(len(digests.SHA256))}}}
	for i, text := range digests.SHA256 {
		digest, err := hex.DecodeString(text)
		if err != nil {
			return nil, "", figbank.InvalidError{Subject: "list of pieces", Detail: err.Error()}
		}
		manifest.Chunks = append(manifest.Chunks, &schema.Chunk{
			Digest: digest, Spans: []*schema.Span{{Offset: int64(i) * digests.PieceBytes, Length: digests.PieceBytes}},
		})
	}
	content, digest, err := weights.Marshal(manifest)
	if err != nil {
		return nil, "", err
	}
	_, err = weights.Parse(content, digest)
	return content, digest, err
}

// Package staging loads the named version of the weights into an agent's engine. It
// fetches and verifies the weights, stages them at the engine, reads them back, and
// only then orders the engine to load them.
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
	// Report is the state that an engine reports.
	Report struct {
		// Loaded is empty if the engine has no model loaded.
		Loaded *schema.LoadedWeights
		// Busy is set while the engine carries out an order.
		Busy bool
		// Orders counts the orders that the engine has accepted since its start.
		Orders uint64
		// BornUnixMilli is when the engine started. It changes with each restart.
		BornUnixMilli int64
		// Running is the number of requests that are running.
		Running int64
		// Leaving is set if the engine says that it leaves.
		Leaving bool
	}

	// Engine is a client of the agent's engine.
	Engine interface {
		// Report requests the engine's state.
		Report(ctx context.Context) (Report, error)
		// Start orders the engine to load the staged version once its running requests
		// have ended. The engine refuses the order unless orders equals the number of
		// orders it has accepted. begun is false if the engine has not begun to load, because it
		// has the version loaded already.
		Start(ctx context.Context, model string, version int64, orders uint64) (begun bool, err error)
		// Put stages one piece. The engine does not verify it.
		Put(ctx context.Context, model string, piece int, content []byte) error
		// Get reads a staged piece back.
		Get(ctx context.Context, model string, piece int) ([]byte, error)
	}

	// Source identifies a version at an origin.
	Source struct {
		Address figbank.Address
		Model   string
		Version int64
	}

	// Digests lists the digests of one version's pieces. Every piece is PieceBytes long.
	Digests struct {
		PieceBytes int64
		// SHA256 holds 64 hex digits for each piece.
		SHA256 []string
	}

	// Origin is a client of the servers that store every named version.
	Origin interface {
		// Digests fetches the digests of a version's pieces.
		Digests(ctx context.Context, source Source) (Digests, error)
		// Piece fetches one piece. The caller verifies it.
		Piece(ctx context.Context, source Source, piece int) ([]byte, error)
	}
)

// manifestOf makes a manifest that describes a version's pieces as the chunks of one file. It
// returns the manifest's bytes and their digest. Every host makes the same manifest, so agents can
// fetch chunks from each other.
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

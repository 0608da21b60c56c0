package transfer

import (
	"errors"
	"strconv"

	"figbank"
)

// maxOriginMismatches is how often the origin's bytes of one chunk may differ from the manifest before
// the manifest is in doubt. A few answers of the origin may be spoilt, but rarely two to one chunk.
const maxOriginMismatches = 2

// ManifestDoubtError reports that the origin's bytes of a chunk have not matched the manifest, again and
// again. The manifest may be wrong, as it came from the origin too.
type ManifestDoubtError struct {
	Chunk figbank.ChunkIndex
}

// Error names the chunk.
func (e ManifestDoubtError) Error() string {
	return "the origin's bytes do not match the manifest, chunk " + strconv.FormatUint(uint64(e.Chunk), 10)
}

// countMismatch counts the origin's wrong answers to each chunk. It returns a ManifestDoubtError once there are
// too many.
func countMismatch(mismatches map[figbank.ChunkIndex]int, update planUpdate) error {
	if update.fetch == nil || update.fetch.Peer != "" || !errors.As(update.err, new(figbank.CorruptError)) {
		return nil
	}
	chunk := update.fetch.Chunk
	mismatches[chunk]++
	if mismatches[chunk] < maxOriginMismatches {
		return nil
	}
	return figbank.WrapError("transfer", "ManifestDoubt", ManifestDoubtError{Chunk: chunk})
}

package changelog

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever the changes and however far behind a reader is, it learns of every key that changed
// after its revision, once, or that it has to look at the whole table.
func TestSinceMissesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := rapid.SliceOfN(rapid.IntRange(0, 40), 0, 3*maxEntries).Draw(t, "changes")
		log := Log[int]{}
		for i, key := range changes {
			log.Add(Revision(i+1), key)
		}
		if got, want := log.Last(), Revision(len(changes)); got != want {
			t.Fatalf("Last() = %d, want %d", got, want)
		}
		behind := rapid.IntRange(0, len(changes)).Draw(t, "behind")
		got, whole := log.Since(Revision(len(changes) - behind))
		if !whole {
			if behind <= maxEntries/2 {
				t.Fatalf("Since() forgot changes %d behind, want %d remembered at least", behind, maxEntries/2)
			}
			return
		}
		want := slices.Compact(slices.Sorted(slices.Values(changes[len(changes)-behind:])))
		if got := slices.Sorted(slices.Values(got)); !slices.Equal(got, want) {
			t.Errorf("Since() = %v, want %v", got, want)
		}
	})
}

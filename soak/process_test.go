package soak

import (
	"os"
	"strings"
	"testing"
)

// A process that started while its settings were replaced found an empty file, and ended.
func TestSettingsAreReplacedAtOnce(t *testing.T) {
	want := strings.Repeat("Key = first\n", 200)
	p := &process{processSpec: processSpec{id: "p", folder: t.TempDir(), settings: want}}
	if err := p.writeSettings(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() {
		defer close(done)
		for range 500 {
			if err := p.replaceSetting("first", "first"); err != nil {
				done <- err
			}
		}
	}()
	for {
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
			return
		default:
		}
		if content, err := os.ReadFile(p.settingsFile()); err != nil || string(content) != want {
			t.Fatalf("settings = %d bytes, %v, want %d", len(content), err, len(want))
		}
	}
}

package demo

import (
	"bytes"
	"context"
	"testing"
	"time"
)

// TestDemo runs the demo of both deployments with the sample weights.
func TestDemo(t *testing.T) {
	for _, name := range []string{"tabwright", "bluehole"} {
		t.Run(name, func(t *testing.T) {
			var screen bytes.Buffer
			summary, err := Run(context.Background(), Options{Deployment: name, Duration: time.Second, Output: &screen})
			if err != nil {
				t.Fatalf("Run() = %v\n%s", err, screen.String())
			}
			if !summary.Passed() {
				summary.Print(&screen)
				t.Errorf("not every promise held:\n%s", screen.String())
			}
		})
	}
}

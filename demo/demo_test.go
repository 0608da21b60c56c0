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
			var output bytes.Buffer
			summary, err := Run(context.Background(), Options{Deployment: name, Duration: time.Second, Output: &output})
			if err != nil {
				t.Fatalf("Run() = %v\n%s", err, output.String())
			}
			if !summary.Passed() {
				summary.Print(&output)
				t.Errorf("not every promise held:\n%s", output.String())
			}
		})
	}
}

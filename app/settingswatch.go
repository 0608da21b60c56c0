package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"figbank"
)

// fileCheckInterval is how often watchFile checks whether the file has changed.
const fileCheckInterval = time.Second

// watchFile calls reload with the cause "signal" on SIGHUP, and with the cause "file" when the
// modification time or the size of the file has changed. It returns when ctx ends.
func watchFile(ctx context.Context, clock figbank.Clock, path string, reload func(cause string)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticks, stop := clock.Tick(fileCheckInterval)
	defer stop()
	last := fileVersionOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = fileVersionOf(path)
			reload("signal")
		case <-ticks:
			if now := fileVersionOf(path); now != last {
				last = now
				reload("file")
			}
		}
	}
}

// fileVersion identifies a state of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// fileVersionOf returns the zero version for a file that cannot be read.
func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}

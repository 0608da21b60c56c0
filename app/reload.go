package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"figbank"
)

// settingsInterval is how often the settings file is looked at.
const settingsInterval = time.Second

// followFile calls act on SIGHUP and after each change of a file.
func followFile(ctx context.Context, clock figbank.Clock, path string, act func(cause string)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticks, stop := clock.Tick(settingsInterval)
	defer stop()
	last := stampOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = stampOf(path)
			act("signal")
		case <-ticks:
			if now := stampOf(path); now != last {
				last = now
				act("file")
			}
		}
	}
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
}

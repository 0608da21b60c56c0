package main

import (
	"context"
	"os"

	"figbank"
	"figbank/app"
	"figbank/fake"
	"figbank/settings"

	"go.uber.org/fx"
)

func newSoakReplica() *command {
	c := &command{sub: newSubcommand("soak-replica", "Run a replica for the soak, whose disk is full while a file exists.")}
	c.sub.Hidden = true
	path, marker := settingsFlag(c), ""
	c.sub.String(&marker, "", "full", "The file.")
	c.run = func(ctx context.Context) error {
		catchHangups()
		s, err := settings.ReadPlatform(*path)
		if err != nil {
			return err
		}
		full := func() bool {
			_, err := os.Stat(marker)
			return err == nil
		}
		return runApp(ctx, app.NewPlatformReplica(s, app.SettingsFile(*path), fx.Decorate(func(disk figbank.Disk) figbank.Disk {
			return fake.NewFullDisk(disk, full)
		})))
	}
	return c
}

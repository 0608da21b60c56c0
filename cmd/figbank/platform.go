package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"figbank"
	"figbank/app"
	"figbank/schema"
	"figbank/settings"

	"go.uber.org/fx"
)

// settingsVariable is the environment variable that names the settings file if the
// flag is not given.
const settingsVariable = "FIGBANK_SETTINGS"

// platformRoles are the kinds of process that figbank runs on a platform.
var platformRoles = []struct {
	name   string
	create func(*schema.PlatformSettings, app.SettingsFile, ...fx.Option) *fx.App
}{
	{name: "gateway", create: app.NewPlatformGateway},
	{name: "replica", create: app.NewPlatformReplica},
	{name: "agent", create: app.NewPlatformAgent},
}

func newPlatform() *command {
	names := make([]string, len(platformRoles))
	for i, role := range platformRoles {
		names[i] = role.name
	}
	c := &command{sub: newSubcommand("platform", "Run a process on a platform whose upstreams announce themselves: "+strings.Join(names, ", ")+".")}
	roleName := ""
	c.sub.AddPositionalValue(&roleName, "role", 1, true, "Role of the process: "+strings.Join(names, ", ")+".")
	path := settingsFlag(c)
	c.run = func(ctx context.Context) error {
		catchHangups()
		if *path == "" {
			*path = os.Getenv(settingsVariable)
		}
		for _, role := range platformRoles {
			if role.name != roleName {
				continue
			}
			s, err := settings.ReadPlatform(*path)
			if err != nil {
				return err
			}
			return runApp(ctx, role.create(s, app.SettingsFile(*path)))
		}
		return figbank.InvalidError{Subject: "arguments", Detail: "role must be one of " + strings.Join(names, ", ")}
	}
	return c
}

// catchHangups catches SIGHUP, which asks a process to read its settings again. By
// default the signal would terminate a process that does not watch for it yet. The
// settings are read after this call, so that they include the changes that an earlier
// signal announced.
func catchHangups() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

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

// settingsVariable is the environment variable that names the settings file if the flag
// --settings is not given.
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
		return figbank.InvalidError{Subject: subjectArguments, Detail: "role must be one of " + strings.Join(names, ", ")}
	}
	return c
}

// catchHangups keeps SIGHUP from terminating this process. The signal asks a process to read its
// settings again, but by default it terminates a process that does not listen for it yet. The
// caller must read the settings after this call. They then include the changes that any earlier
// signal announced.
func catchHangups() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

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

// settingsVariable names the settings file where no flag does.
const settingsVariable = "FIGBANK_SETTINGS"

// platformRoles are the processes that figbank runs on a platform.
var platformRoles = []struct {
	name  string
	start func(*schema.PlatformSettings, app.SettingsFile, ...fx.Option) *fx.App
}{
	{name: "gateway", start: app.NewPlatformGateway},
	{name: "replica", start: app.NewPlatformReplica},
	{name: "agent", start: app.NewPlatformAgent},
}

func newPlatform() *command {
	names := make([]string, len(platformRoles))
	for i, role := range platformRoles {
		names[i] = role.name
	}
	c := &command{sub: newSub("platform", "Run a process on a platform whose upstreams announce themselves: "+strings.Join(names, ", ")+".")}
	wanted := ""
	c.sub.AddPositionalValue(&wanted, "role", 1, true, "Role of the process: "+strings.Join(names, ", ")+".")
	path := settingsFlag(c)
	c.run = func(ctx context.Context) error {
		holdHangups()
		if *path == "" {
			*path = os.Getenv(settingsVariable)
		}
		for _, role := range platformRoles {
			if role.name != wanted {
				continue
			}
			s, err := settings.ReadPlatform(*path)
			if err != nil {
				return err
			}
			return runApp(ctx, role.start(s, app.SettingsFile(*path)))
		}
		return figbank.InvalidError{Subject: "arguments", Detail: "role must be one of " + strings.Join(names, ", ")}
	}
	return c
}

// holdHangups keeps a request to read the settings again from ending a process
// that does not listen for it yet; the settings are read after this.
func holdHangups() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

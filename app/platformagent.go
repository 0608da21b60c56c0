package app

import (
	"figbank"
	"figbank/feed"
	"figbank/schema"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// NewPlatformAgent wires an agent on a platform.
func NewPlatformAgent(s *schema.PlatformSettings, file SettingsFile, options ...fx.Option) *fx.App {
	return fx.New(
		platformBase(s, schema.MemberRole_MEMBER_ROLE_AGENT),
		fx.Supply(file),
		fx.Invoke(watchSettings, servePlatformAgent),
		fx.Options(options...),
	)
}

func servePlatformAgent(common figbank.Common, s *schema.PlatformSettings, _ *feed.Subscriber) {
	common.Log.Info("agent: started", zap.String("upstream", s.GetNode().GetUpstream()))
}

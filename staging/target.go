package staging

import (
	"slices"
	"time"

	"figbank"
	"figbank/registry"
	"figbank/rollout"
	"figbank/schema"
)

// target returns the versions that the engine should load next and that this host should fetch. It
// returns false if the origin or model is not known yet.
func (s *Stager) target(report Report) (target, bool) {
	fleet := s.view.Fleet()
	if s.rules == nil || s.rules.GetNumber() != fleet.GetTrafficNumber() {
		s.rules = s.readRules(fleet)
	}
	var wanted target
	for _, service := range s.rules.GetServices() {
		if service.GetOrigin() != "" {
			wanted.source.Address = figbank.Address(service.GetOrigin())
			wanted.originRate = figbank.Bytes(service.GetOriginBytesPerSecond())
		}
		if service.GetName() == string(s.settings.Service) {
			wanted.source.Model = service.GetEngine().GetModel()
			wanted.layers = service.GetEngine().GetLayers()
			wanted.chunks = int(service.GetEngine().GetChunks())
		}
	}
	choice := s.choose(fleet.GetVersions(), wanted.source, report.Loaded.GetVersion())
	wanted.fetch = wanted.source
	wanted.source.Version, wanted.fetch.Version = choice.Load, choice.Fetch
	return wanted, wanted.source.Address != "" && wanted.source.Model != ""
}

// choose decides between the versions named for the model of source that are newer than the
// loaded one. Without any, it returns the loaded version, or firstVersion if there is none.
func (s *Stager) choose(named []*schema.NamedVersion, source Source, loaded int64) rollout.Choice {
	newer := rollout.Newer(named, source.Model, loaded)
	if len(newer) == 0 {
		number := max(loaded, firstVersion)
		return rollout.Choice{Fetch: number, Load: number}
	}
	now := s.common.Clock.Now()
	var candidates []rollout.Candidate
	for i, version := range newer {
		source.Version = version.GetVersion()
		candidate := rollout.Candidate{Number: version.GetVersion(), Newest: i == len(newer)-1, Held: s.heldVersion(source) != nil}
		if !candidate.Newest {
			candidate.ServableFor = s.servableFor(newer[i+1], now)
		}
		candidates = append(candidates, candidate)
	}
	loadedFor := time.Duration(0)
	if loaded > 0 {
		loadedFor = s.servableFor(newer[0], now)
	}
	return rollout.Choose(candidates, s.transfer(now), loadedFor)
}

// transfer describes the fetch that is under way.
func (s *Stager) transfer(now time.Time) rollout.Transfer {
	progress := s.active.Progress()
	changedAt := progress.ChangedAt
	if changedAt.Before(s.fetching.startedAt) {
		changedAt = s.fetching.startedAt
	}
	transfer := rollout.Transfer{Version: s.fetching.source.Version, Share: progress.Share(), IdleFor: now.Sub(changedAt)}
	if rate := s.settings.Bandwidth; rate > 0 {
		transfer.CopyTime = time.Duration(float64(progress.Size) / float64(rate) * float64(time.Second))
	}
	return transfer
}

// servableFor returns how much longer requests may begin on versions older than next.
func (s *Stager) servableFor(next *schema.NamedVersion, now time.Time) time.Duration {
	return s.settings.VersionTime - now.Sub(time.Unix(0, next.GetNamedUnixNano()))
}

// namedWithin reports whether operators named a version no longer ago than d.
func (s *Stager) namedWithin(source Source, d time.Duration) bool {
	for _, named := range s.view.Fleet().GetVersions() {
		if named.GetModel() == source.Model && named.GetVersion() == source.Version {
			return s.common.Clock.Now().Sub(time.Unix(0, named.GetNamedUnixNano())) < d
		}
	}
	return false
}

// servedElsewhere reports whether another upstream of the service serves a version.
func (s *Stager) servedElsewhere(version int64) bool {
	return slices.ContainsFunc(s.view.Upstreams(s.named), func(upstream registry.Upstream) bool {
		return upstream.Record.GetService() == string(s.settings.Service) && upstream.Loaded.GetVersion() == version &&
			upstream.Record.GetAddress() != s.settings.Member.GetUpstream()
	})
}

// named reports whether a service is the engine's own, or another one that the rules name.
func (s *Stager) named(service figbank.ServiceName) bool {
	return service == s.settings.Service || slices.ContainsFunc(s.rules.GetServices(), func(named *schema.RoutedService) bool {
		return named.GetName() == string(service)
	})
}

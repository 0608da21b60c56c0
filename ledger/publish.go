package ledger

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// maxPreviousVersions limits how many earlier versions of a service stay in the
// configuration. Upstreams may still serve them during a rollout.
const maxPreviousVersions = 4

// publish accepts all declarations or none. A declaration that is already in force
// with the same revision and content is accepted again with the same result.
func (s *State) publish(offer *schema.Publish) *schema.Result {
	next := &schema.Configuration{
		CommitIndex:    s.applied,
		Services:       slices.Clone(s.configuration.GetServices()),
		FailureDomains: slices.Clone(s.configuration.GetFailureDomains()),
	}
	result := &schema.Result{}
	changed := false
	subjects := map[string]bool{}
	for _, declaration := range offer.GetDeclarations() {
		subject := Subject(declaration)
		if subject == "" || subjects[subject] {
			return refuse(schema.Refusal_REFUSAL_INVALID, fmt.Sprintf("subject %q is empty or declared twice", subject))
		}
		subjects[subject] = true
		accepted, refusal := s.accept(declaration)
		if refusal != nil {
			return refusal
		}
		result.CommitIndex = max(result.CommitIndex, accepted.GetCommitIndex())
		result.Changes = append(result.Changes, &schema.Change{
			Subject: subject, From: accepted.GetReplaced(), To: revisionOf(declaration),
		})
		if accepted.GetCommitIndex() == s.applied {
			changed = true
			putAccepted(next, accepted)
		}
	}
	if changed {
		s.configuration = next
	}
	return result
}

// accept compares one declaration with the one in force for its subject. It returns either the
// accepted declaration or a refusal. If the declaration equals the one in force, it returns the
// latter, with its commit index.
func (s *State) accept(declaration *schema.Declaration) (*schema.Accepted, *schema.Result) {
	subject, revision, digest := Subject(declaration), revisionOf(declaration), digestOf(declaration)
	current := FindAccepted(s.configuration, subject)
	inForce := revisionOf(current.GetDeclaration())
	switch {
	case revision < inForce:
		return nil, refuse(schema.Refusal_REFUSAL_STALE, fmt.Sprintf("%s: revision %d is older than %d in force", subject, revision, inForce))
	case revision > inForce:
		return &schema.Accepted{Declaration: declaration, CommitIndex: s.applied, Digest: digest, Replaced: inForce}, nil
	case !bytes.Equal(digest, current.GetDigest()):
		return nil, refuse(schema.Refusal_REFUSAL_CONFLICT, fmt.Sprintf("%s: revision %d is in force with other content", subject, revision))
	}
	return current, nil
}

// Subject returns the kind and name of what a declaration describes, or "" if it
// describes nothing.
func Subject(declaration *schema.Declaration) string {
	if service := declaration.GetService(); service != nil {
		return "service " + service.GetName()
	}
	if domain := declaration.GetFailureDomain(); domain != nil {
		return "failure domain " + domain.GetName()
	}
	return ""
}

// FindAccepted returns the declaration in force for a subject, or nil.
func FindAccepted(configuration *schema.Configuration, subject string) *schema.Accepted {
	for _, service := range configuration.GetServices() {
		if Subject(service.GetCurrent().GetDeclaration()) == subject {
			return service.GetCurrent()
		}
	}
	for _, domain := range configuration.GetFailureDomains() {
		if Subject(domain.GetDeclaration()) == subject {
			return domain
		}
	}
	return nil
}

// putAccepted puts an accepted declaration in force in a configuration.
func putAccepted(configuration *schema.Configuration, accepted *schema.Accepted) {
	if accepted.GetDeclaration().GetService() == nil {
		configuration.FailureDomains = replace(configuration.GetFailureDomains(), accepted,
			func(d *schema.Accepted) string { return Subject(d.GetDeclaration()) })
		return
	}
	subject := Subject(accepted.GetDeclaration())
	inForce := &schema.ServiceInForce{Current: accepted}
	for _, service := range configuration.GetServices() {
		if Subject(service.GetCurrent().GetDeclaration()) == subject {
			inForce.Previous = previousVersions(service, accepted.GetDeclaration().GetService())
		}
	}
	configuration.Services = replace(configuration.GetServices(), inForce,
		func(s *schema.ServiceInForce) string { return Subject(s.GetCurrent().GetDeclaration()) })
}

// replace returns a copy of the list, sorted by subject, in which item replaces the one
// of the same subject, if any.
func replace[T any](list []T, item T, subject func(T) string) []T {
	others := slices.DeleteFunc(slices.Clone(list), func(other T) bool {
		return subject(other) == subject(item)
	})
	others = append(others, item)
	slices.SortFunc(others, func(a, b T) int { return cmp.Compare(subject(a), subject(b)) })
	return others
}

// previousVersions returns the versions that upstreams may still serve after next is in
// force: newest first, each manifest once, and at most maxPreviousVersions.
func previousVersions(replaced *schema.ServiceInForce, next *schema.ServiceDeclaration) []*schema.ServiceDeclaration {
	candidates := append([]*schema.ServiceDeclaration{replaced.GetCurrent().GetDeclaration().GetService()}, replaced.GetPrevious()...)
	seen := map[string]bool{next.GetManifest(): true}
	var previous []*schema.ServiceDeclaration
	for _, candidate := range candidates {
		if seen[candidate.GetManifest()] || len(previous) == maxPreviousVersions {
			continue
		}
		seen[candidate.GetManifest()] = true
		previous = append(previous, candidate)
	}
	return previous
}

func revisionOf(declaration *schema.Declaration) int64 {
	if service := declaration.GetService(); service != nil {
		return service.GetRevision()
	}
	return declaration.GetFailureDomain().GetRevision()
}

func digestOf(declaration *schema.Declaration) []byte {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(declaration)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(content)
	return sum[:]
}

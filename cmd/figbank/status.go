package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"figbank/schema"
)

// shortDigestLength is how many hex digits of a digest the tables show.
const shortDigestLength = 12

// printStatus prints the gateway, its replica of the log if it has one, the failure
// domains, a table of the services and a table of the upstreams.
func printStatus(w io.Writer, status *schema.Status) {
	fmt.Fprintf(w, "%s in %s: ready %t, configuration %d\n", status.GetProcess(), status.GetFailureDomain(), status.GetReady(), status.GetConfigIndex())
	if replica := status.GetReplica(); replica != nil {
		fmt.Fprintf(w, "log: %s in term %d, leader %s, committed %d\n", replica.GetRole(), replica.GetTerm(), replica.GetLeader(), replica.GetCommit())
	}
	for _, accepted := range status.GetConfiguration().GetFailureDomains() {
		domain := accepted.GetDeclaration().GetFailureDomain()
		fmt.Fprintf(w, "failure domain %s: %s, revision %d\n", domain.GetName(), domain.GetState(), domain.GetRevision())
	}
	fmt.Fprintln(w)
	printServices(w, status)
	fmt.Fprintln(w)
	printUpstreams(w, status)
}

func printServices(w io.Writer, status *schema.Status) {
	traffic := map[string]*schema.ServiceTraffic{}
	for _, t := range status.GetTraffic() {
		traffic[t.GetService()] = t
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tREVISION\tVERSION\tMANIFEST\tDOMAINS\tRAN\tNOT RUN\tUNKNOWN\tWAITING")
	for _, service := range status.GetConfiguration().GetServices() {
		d := service.GetCurrent().GetDeclaration().GetService()
		t := traffic[d.GetName()]
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", d.GetName(), d.GetRevision(), orDash(d.GetVersion()),
			shortenDigest(d.GetManifest()), strings.Join(d.GetFailureDomains(), ","), t.GetRan(), t.GetNotRun(), t.GetUnknown(), t.GetWaiting())
	}
	_ = table.Flush()
}

func printUpstreams(w io.Writer, status *schema.Status) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "UPSTREAM\tSERVICE\tDOMAIN\tSTATE\tMANIFEST\tCHUNKS\tIN USE\tLIMIT\tCONFIGURATION")
	for _, u := range status.GetUpstreams() {
		state := strings.ToLower(strings.TrimPrefix(u.GetState().String(), "UPSTREAM_STATE_"))
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", u.GetId(), u.GetService(), u.GetFailureDomain(),
			state, shortenDigest(u.GetManifest()), chunkProgress(u), u.GetInUse(), u.GetLimit(), u.GetConfigIndex())
	}
	_ = table.Flush()
}

// chunkProgress returns how much of the declared weights an upstream's agent holds.
func chunkProgress(u *schema.Upstream) string {
	switch {
	case u.GetChunksTotal() > 0:
		return fmt.Sprintf("%d/%d", u.GetChunksWhole(), u.GetChunksTotal())
	case u.GetWholeManifest() != "":
		return "whole"
	default:
		return "-"
	}
}

// shortenDigest returns the first digits of a manifest's digest.
func shortenDigest(manifest string) string {
	digest := strings.TrimPrefix(manifest, "sha256:")
	return orDash(digest[:min(shortDigestLength, len(digest))])
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

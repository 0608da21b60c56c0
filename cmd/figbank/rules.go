package main

import (
	"context"
	"fmt"
	"os"

	"figbank"
	"figbank/platform"
	"figbank/schema"
	"figbank/traffic"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// rulesReport is what the check of a configuration prints.
type rulesReport struct {
	Number   int64
	Findings []traffic.Finding
	// InForce is the number of the rules in force, 0 if they were not read. Changes is what differs from them.
	InForce int64
	Changes []string
}

// newRules returns the command that checks a configuration before it is sent.
func newRules() *command {
	c := &command{sub: newSubcommand("rules", "Check a platform's configuration before it is sent: errors, entries without effect, and what differs from the one in force.")}
	path, control, asJSON, strict := "", "", false, false
	c.sub.AddPositionalValue(&path, "FILE", 1, true, "Configuration document.")
	c.sub.String(&control, "t", "to", "Control address of a replica; without one, nothing is compared.")
	c.sub.Bool(&asJSON, "j", "json", "Print JSON.")
	c.sub.Bool(&strict, "", "strict", "Fail if there are findings.")
	c.run = func(ctx context.Context) error {
		rules, err := platform.ReadRules(path)
		if err != nil {
			return err
		}
		report := rulesReport{Number: rules.GetNumber(), Findings: traffic.Review(rules)}
		if control != "" {
			inForce, err := platform.RulesInForce(ctx, figbank.Address(control))
			if err != nil {
				return err
			}
			report.compare(inForce, rules)
		}
		if err := report.print(asJSON); err != nil {
			return err
		}
		if strict && len(report.Findings) > 0 {
			return figbank.InvalidError{Subject: path, Detail: fmt.Sprintf("%d findings", len(report.Findings))}
		}
		return nil
	}
	return c
}

// compare adds what differs from the rules in force.
func (r *rulesReport) compare(inForce, rules *schema.Traffic) {
	r.InForce = inForce.GetNumber()
	if r.InForce >= r.Number {
		r.Findings = append(r.Findings, traffic.Finding{Subject: "number", Detail: fmt.Sprintf("%d has no effect: %d is in force", r.Number, r.InForce)})
	}
	r.Changes = traffic.Compare(inForce, rules)
}

func (r *rulesReport) print(asJSON bool) error {
	if asJSON {
		content, err := json.Marshal(r, jsontext.Multiline(true))
		if err != nil {
			return figbank.WrapError("rules", "Print", err)
		}
		fmt.Fprintln(os.Stdout, string(content))
		return nil
	}
	fmt.Printf("configuration %d is valid\n", r.Number)
	for _, finding := range r.Findings {
		fmt.Printf("finding: %s: %s\n", finding.Subject, finding.Detail)
	}
	if r.InForce == 0 {
		return nil
	}
	fmt.Printf("%d changes from configuration %d, which is in force\n", len(r.Changes), r.InForce)
	for _, change := range r.Changes {
		fmt.Println("  " + change)
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"figbank"
	"figbank/platform"
)

// newDuties returns the command that shows who carries out the duties of a platform's deployment.
func newDuties() *command {
	c := &command{sub: newSubcommand("duties", "Show who carries out the duties of a deployment on a platform, as one replica knows it.")}
	address := ""
	c.sub.String(&address, "t", "to", "Address at which a replica serves its metrics.")
	c.run = func(ctx context.Context) error {
		if address == "" {
			return figbank.InvalidError{Subject: subjectArguments, Detail: "--to ADDRESS is needed"}
		}
		status, err := platform.Duties(ctx, figbank.Address(address))
		if err != nil {
			return err
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "DUTY\tHOLDER\tTOKEN\tRENEWALS")
		for _, duty := range status.GetDuties() {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", duty.GetSubject(), duty.GetHolder(), duty.GetToken(), duty.GetRenewals())
		}
		return table.Flush()
	}
	return c
}

package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"figbank"
	"figbank/declaration"
	"figbank/operators"
	"figbank/schema"
	"figbank/timeline"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/encoding/protojson"
)

// keyVariable is the environment variable that holds the operator's key.
const keyVariable = "FIGBANK_KEY"

// target holds the address of a gateway's operators' API and the operator's key.
type target struct {
	address string
	key     string
	keyFile string
}

func newTarget(sub *flaggy.Subcommand) *target {
	t := &target{}
	sub.String(&t.address, "t", "to", "Address on which any gateway serves operators.")
	sub.String(&t.key, "k", "key", "Operator's key; by default from --key-file, else from the variable "+keyVariable+".")
	sub.String(&t.keyFile, "", "key-file", "File with the operator's key.")
	return t
}

// client returns a client of the gateway. The key comes from --key, else from --key-file, else
// from the environment variable keyVariable.
func (t *target) client() (*operators.Client, error) {
	if t.address == "" {
		return nil, figbank.InvalidError{Subject: subjectArguments, Detail: "--to ADDRESS is needed"}
	}
	key := t.key
	if key == "" && t.keyFile != "" {
		content, err := os.ReadFile(t.keyFile)
		if err != nil {
			return nil, figbank.InvalidError{Subject: "key file", Detail: err.Error()}
		}
		key = strings.TrimSpace(string(content))
	}
	if key == "" {
		key = os.Getenv(keyVariable)
	}
	return operators.NewClient(t.address, key), nil
}

func newCheck() *command {
	c := &command{sub: newSubcommand("check", "Check the declaration files below a folder.")}
	folder := folderArgument(c)
	c.run = func(context.Context) error {
		declarations, err := declaration.ReadFolder(*folder)
		if err != nil {
			return err
		}
		fmt.Printf("%d declarations are valid\n", len(declarations))
		return nil
	}
	return c
}

func newPublish() *command {
	c := &command{sub: newSubcommand("publish", "Publish the declaration files below a folder, all or none.")}
	folder := folderArgument(c)
	gateway := newTarget(c.sub)
	c.run = func(ctx context.Context) error {
		declarations, err := declaration.ReadFolder(*folder)
		if err != nil {
			return err
		}
		client, err := gateway.client()
		if err != nil {
			return err
		}
		result, err := client.Publish(ctx, &schema.Publish{Declarations: declarations})
		if err != nil {
			return err
		}
		printResult(result)
		return nil
	}
	return c
}

func printResult(result *schema.Result) {
	for _, change := range result.GetChanges() {
		if change.GetFrom() == 0 {
			fmt.Printf("%s: revision %d, new\n", change.GetSubject(), change.GetTo())
			continue
		}
		fmt.Printf("%s: revision %d, was %d\n", change.GetSubject(), change.GetTo(), change.GetFrom())
	}
	fmt.Printf("accepted at commit index %d\n", result.GetCommitIndex())
}

func newStatus() *command {
	c := &command{sub: newSubcommand("status", "Show what is declared, in force and running.")}
	gateway := newTarget(c.sub)
	asJSON := false
	c.sub.Bool(&asJSON, "j", "json", "Print JSON.")
	c.run = func(ctx context.Context) error {
		client, err := gateway.client()
		if err != nil {
			return err
		}
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if asJSON {
			fmt.Println(protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Format(status))
			return nil
		}
		printStatus(os.Stdout, status)
		return nil
	}
	return c
}

func newTimeline() *command {
	c := &command{sub: newSubcommand("timeline", "Print the merged events of all processes that a gateway reaches.")}
	gateway := newTarget(c.sub)
	filter := timeline.Filter{}
	page := ""
	c.sub.String(&filter.RequestID, "r", "request", "Only this request.")
	c.sub.String(&filter.Chunk, "c", "chunk", "Only this chunk.")
	c.sub.String(&filter.Upstream, "u", "upstream", "Only this upstream.")
	c.sub.String(&page, "", "html", "Write one self-contained HTML page to this file.")
	c.run = func(ctx context.Context) error {
		client, err := gateway.client()
		if err != nil {
			return err
		}
		gathered, err := client.Timeline(ctx)
		if err != nil {
			return err
		}
		events := timeline.Select(gathered.GetEvents(), filter)
		if page == "" {
			return timeline.WriteText(os.Stdout, events)
		}
		file, err := os.Create(page)
		if err != nil {
			return figbank.InvalidError{Subject: "file", Detail: err.Error()}
		}
		defer file.Close()
		return timeline.WriteHTML(file, events)
	}
	return c
}

func folderArgument(c *command) *string {
	folder := ""
	c.sub.AddPositionalValue(&folder, "DIR", 1, true, "Folder that the command reads or writes.")
	return &folder
}

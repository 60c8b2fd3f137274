package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
)

// publishOptions are the flags of the publish command.
type publishOptions struct {
	source, file            string
	kind, scope, key, value string
	delete                  bool
	epoch                   uint64
	timeout                 time.Duration
}

func publishCommand() *cobra.Command {
	o := &publishOptions{}
	c := &cobra.Command{
		Use:   "publish",
		Short: "publish one change: one entry given by flags, or several from a file",
		Args:  cobra.NoArgs,
		Long:  "The file is a JSON list of {\"kind\":\"\",\"scope\":\"\",\"name\":\"\",\"value\":\"\",\"delete\":true}; its entries come into force at once.",
		RunE:  func(c *cobra.Command, _ []string) error { return publish(c.Context(), o, c.OutOrStdout()) },
	}
	c.Flags().StringVar(&o.source, "source", "127.0.0.1:7401", "address of the source")
	c.Flags().StringVar(&o.file, "file", "", "JSON file with the entries, instead of the flags of one entry")
	c.Flags().StringVar(&o.kind, "kind", "", "kind of the entry: routes, tenants, plans or endpoints")
	c.Flags().StringVar(&o.scope, "scope", "", "part of the fleet that the entry is for; empty for the whole fleet")
	c.Flags().StringVar(&o.key, "key", "", "name of the entry")
	c.Flags().StringVar(&o.value, "value", "", "value of the entry")
	c.Flags().BoolVar(&o.delete, "delete", false, "delete the entry")
	c.Flags().Uint64Var(&o.epoch, "epoch", 0, "epoch of the writer; 0 for the open epoch")
	c.Flags().DurationVar(&o.timeout, "timeout", 5*time.Second, "timeout of each call to the source")
	return c
}

// publish publishes the change and prints its version. The change is bound to the source's present head, so that a
// repeated call cannot apply it twice. Errors: *FlagError, and those of transport.Client.
func publish(ctx context.Context, o *publishOptions, out io.Writer) error {
	mutations, err := o.mutations()
	if err != nil {
		return err
	}
	client := transport.NewClient(o.source, o.timeout)
	defer client.Close()
	head, err := fetchHead(ctx, client, o.timeout)
	if err != nil {
		return err
	}
	epoch := o.epoch
	if epoch == 0 {
		epoch = head.Epoch
	}
	change, err := client.Publish(
		ctx,
		transport.Publication{Epoch: epoch, Expected: &head, Mutations: mutations},
		o.timeout,
	)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "epoch=%d version=%d\n", change.Version.Epoch, change.Version.Number)
	return err
}

// mutations returns the mutations given by the flags or the file. Errors: *FlagError.
func (o *publishOptions) mutations() ([]distribution.Mutation, error) {
	if o.file == "" {
		if o.kind == "" || o.key == "" {
			return nil, &FlagError{Name: "--kind and --key", Value: "empty", Want: "the entry's, unless --file is set"}
		}
		entry := distribution.Entry{
			Key:   distribution.Key{Kind: distribution.Kind(o.kind), Scope: o.scope, Name: o.key},
			Value: o.value,
		}
		return []distribution.Mutation{{Entry: entry, Delete: o.delete}}, nil
	}
	if o.kind != "" || o.scope != "" || o.key != "" || o.value != "" || o.delete {
		return nil, &FlagError{Name: "--file", Value: o.file, Want: "alone: it replaces the flags of one entry"}
	}
	file, err := os.Open(o.file)
	if err != nil {
		return nil, &FlagError{Name: "--file", Value: err, Want: "a file that can be read"}
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	var mutations []distribution.Mutation
	if err := decoder.Decode(&mutations); err != nil {
		return nil, &FlagError{Name: "--file", Value: err, Want: "a JSON list of entries"}
	}
	return mutations, nil
}

// fetchHead asks a server for its version by requesting the smallest piece of its state. Errors: those of
// transport.Client.Piece.
func fetchHead(ctx context.Context, client *transport.Client, timeout time.Duration) (distribution.Version, error) {
	piece, err := client.Piece(ctx, distribution.PieceRequest{}, timeout)
	if err != nil {
		return distribution.Version{}, err
	}
	return piece.Version, nil
}

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
)

// keysDirMode keeps the directory of private keys to its owner.
const keysDirMode = 0o700

func keysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "make an authority and mesh certificates for a trial", ArgsUsage: "INSTANCE…",
		Description: "The authority's own key is thrown away afterwards, so name all instances at once. In production " +
			"take certificates from your own authority; a certificate's common name is the instance's ID.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "dir", Value: "keys", Usage: "`DIRECTORY` for the PEM files"}},
		Action: runKeys,
	}
}

func runKeys(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return &usageError{"keys: name one or more instances"}
	}
	dir := cmd.String("dir")
	if err := os.MkdirAll(dir, keysDirMode); err != nil {
		return fmt.Errorf("make the directory for keys: %w", err)
	}
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	for _, id := range cmd.Args().Slice() {
		files, err := authority.WriteFiles(dir, fleet.InstanceID(id))
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "%s: %s %s %s\n", id, files.Certificate, files.Key, files.Authority)
	}
	return nil
}

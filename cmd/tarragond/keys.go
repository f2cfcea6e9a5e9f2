package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
)

// keysDirMode gives only the owner access to the directory with the private keys.
const keysDirMode = 0o700

func keysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "create mesh certificates and an operator token for a trial", ArgsUsage: "INSTANCE…",
		Description: "The authority's private key is not kept, so name all instances at once. In production " +
			"use certificates of your own authority; a certificate's common name is the instance's ID.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "dir", Value: "keys", Usage: "`DIRECTORY` for the PEM files"}},
		Action: runKeys,
	}
}

// tokenFile is the name of the file with the operator token.
const tokenFile = "operator.token"

// tokenMode gives only the owner access to the token.
const tokenMode = 0o600

func writeToken(path string) error {
	if err := os.WriteFile(path, []byte(rand.Text()+"\n"), tokenMode); err != nil {
		return fmt.Errorf("write the operator token: %w", err)
	}
	return nil
}

func runKeys(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return &usage.Error{Text: "keys: name one or more instances"}
	}
	dir := cmd.String("dir")
	if err := os.MkdirAll(dir, keysDirMode); err != nil {
		return fmt.Errorf("create the directory for keys: %w", err)
	}
	if err := writeToken(filepath.Join(dir, tokenFile)); err != nil {
		return err
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

package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/settings"
)

// clientFlags returns the flags of every command that calls an operators' port.
func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "at", Value: "127.0.0.1:7001", Sources: cli.EnvVars("SESAMESTREAM_AT"), Usage: "operators' address of any process"},
		&cli.StringFlag{Name: "keys", Value: "keys", Sources: cli.EnvVars("SESAMESTREAM_KEYS"), Usage: "folder with ca.pem and either operator.pem and operator.key, or token"},
	}
}

// newClient returns a client that authenticates with the operator's certificate, or with the token if
// there is no certificate.
func newClient(c *cli.Command) (*operator.Client, error) {
	at, err := parseAddress(c.String("at"))
	if err != nil {
		return nil, err
	}
	dir := c.String("keys")
	k, err := peer.LoadKeys(filepath.Join(dir, fileAuthority), filepath.Join(dir, fileOperatorCertificate), filepath.Join(dir, fileOperatorKey))
	if err == nil {
		return &operator.Client{Address: at, Keys: k}, nil
	}
	return newTokenClient(at.String(), dir, err)
}

// newTokenClient returns a client for operators without a certificate. If there is no token either, it
// returns cause.
func newTokenClient(at, dir string, cause error) (*operator.Client, error) {
	token, err := os.ReadFile(filepath.Join(dir, fileToken))
	if err != nil {
		return nil, cause
	}
	k, err := peer.LoadAuthority(filepath.Join(dir, fileAuthority))
	if err != nil {
		return nil, err
	}
	a, err := parseAddress(at)
	if err != nil {
		return nil, err
	}
	return &operator.Client{Address: a, Keys: k, Token: strings.TrimSpace(string(token))}, nil
}

func checkSettings(data []byte) error {
	_, err := settings.Parse(data)
	return errors.WithStack(err)
}

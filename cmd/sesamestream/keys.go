package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/peer"
)

// Files that the keys command writes.
const (
	fileAuthority           = "ca.pem"
	filePeerCertificate     = "peer.pem"
	filePeerKey             = "peer.key"
	fileOperatorCertificate = "operator.pem"
	fileOperatorKey         = "operator.key"
	fileGossipKey           = "gossip.key"
	fileToken               = "token"
)

// secretBytes is the size of the gossip key and of the operators' token.
const secretBytes = 32

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "write a new authority with the certificates, the gossip key and the operators' token of one deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Value: "keys", Usage: "folder for the files; it must not hold keys yet"},
			&cli.DurationFlag{Name: "valid", Value: 365 * 24 * time.Hour, Usage: "how long the certificates hold"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return writeKeys(c.String("dir"), time.Now(), c.Duration("valid"))
		},
	}
}

// writeKeys writes new keys for one deployment to a folder.
func writeKeys(dir string, now time.Time, valid time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "keys")
	}
	a, err := peer.NewAuthority(now, valid)
	if err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(dir, fileAuthority), a.PEM()); err != nil {
		return err
	}
	if err := issueCertificate(dir, a, peer.PeerName, filePeerCertificate, filePeerKey, now, valid); err != nil {
		return err
	}
	if err := issueCertificate(dir, a, peer.OperatorName, fileOperatorCertificate, fileOperatorKey, now, valid); err != nil {
		return err
	}
	if err := writeSecret(filepath.Join(dir, fileGossipKey)); err != nil {
		return err
	}
	return writeSecret(filepath.Join(dir, fileToken))
}

func issueCertificate(dir string, a *peer.Authority, name, certFile, keyFile string, now time.Time, valid time.Duration) error {
	c, err := a.Issue(name, now, valid)
	if err != nil {
		return err
	}
	certificate, key, err := peer.PEM(c)
	if err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(dir, certFile), certificate); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, keyFile), key)
}

// writeSecret writes a random secret in hexadecimal.
func writeSecret(file string) error {
	var b [secretBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return errors.Wrap(err, "keys")
	}
	return writeNewFile(file, []byte(hex.EncodeToString(b[:])+"\n"))
}

// writeNewFile writes a file and fails if it exists.
func writeNewFile(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	defer f.Close()
	_, err = f.Write(data)
	return errors.Wrap(err, "keys")
}

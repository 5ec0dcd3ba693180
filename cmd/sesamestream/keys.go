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

// The files that keys writes.
const (
	fileAuthority   = "ca.pem"
	fileCertificate = "peer.pem"
	fileKey         = "peer.key"
	fileOperator    = "operator.pem"
	fileOperatorKey = "operator.key"
	fileGossip      = "gossip.key"
	fileToken       = "token"
)

// gossipKeyBytes is the size of a gossip key.
const gossipKeyBytes = 32

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

// writeKeys makes the keys of one deployment in a folder.
func writeKeys(dir string, now time.Time, valid time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "keys")
	}
	a, err := peer.NewAuthority(now, valid)
	if err != nil {
		return err
	}
	if err := writeNew(filepath.Join(dir, fileAuthority), a.PEM()); err != nil {
		return err
	}
	if err := issue(dir, a, peer.PeerName, fileCertificate, fileKey, now, valid); err != nil {
		return err
	}
	if err := issue(dir, a, peer.OperatorName, fileOperator, fileOperatorKey, now, valid); err != nil {
		return err
	}
	if err := writeSecret(filepath.Join(dir, fileGossip)); err != nil {
		return err
	}
	return writeSecret(filepath.Join(dir, fileToken))
}

func issue(dir string, a *peer.Authority, name, certFile, keyFile string, now time.Time, valid time.Duration) error {
	c, err := a.Issue(name, now, valid)
	if err != nil {
		return err
	}
	certificate, key, err := peer.PEM(c)
	if err != nil {
		return err
	}
	if err := writeNew(filepath.Join(dir, certFile), certificate); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, keyFile), key)
}

func writeSecret(file string) error {
	var b [gossipKeyBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return errors.Wrap(err, "keys")
	}
	return writeNew(file, []byte(hex.EncodeToString(b[:])+"\n"))
}

// writeNew writes a file that must not exist yet.
func writeNew(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	defer f.Close()
	_, err = f.Write(data)
	return errors.Wrap(err, "keys")
}

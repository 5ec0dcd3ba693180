package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"github.com/sesamestream/sesamestream/internal/agent"
	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/entry"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "YAML file of settings; see examples/"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers behind the platform's balancer",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runProcess(ctx, c.String("settings"), fleet.RoleEntry)
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "admit work on one target host",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runProcess(ctx, c.String("settings"), fleet.RoleAgent)
		},
	}
}

// A parts value is what both roles are built from.
type parts struct {
	settings settings.Settings
	self     fleet.Member
	keys     *peer.KeyRing
	operator *operator.Server
	metrics  metrics.Registry
	log      *log.Logger
}

// runProcess runs the process that a settings file describes.
func runProcess(ctx context.Context, file string, role fleet.Role) error {
	p, err := loadParts(file)
	if err != nil {
		return err
	}
	if p.settings.Role != role {
		return errors.Wrapf(settings.ErrInvalid, "%s: role is %s, not %s", file, p.settings.Role, role)
	}
	if role == fleet.RoleEntry {
		return p.entry().Run(ctx)
	}
	return p.agent().Run(ctx)
}

// loadParts reads settings and keys; files are named relative to the settings.
func loadParts(file string) (*parts, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	at := func(name string) string {
		if filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(filepath.Dir(file), name)
	}
	k, err := peer.LoadKeys(at(s.Keys.CA), at(s.Keys.Certificate), at(s.Keys.Key))
	if err != nil {
		return nil, err
	}
	token, err := os.ReadFile(at(s.Operator.TokenFile))
	if err != nil {
		return nil, errors.Wrap(err, "operator token")
	}
	return newParts(s, peer.NewKeyRing(k), strings.TrimSpace(string(token)), newLogger(s.Log)), nil
}

func newParts(s settings.Settings, k *peer.KeyRing, token string, l *log.Logger) *parts {
	m := metrics.NewRegistry()
	return &parts{
		settings: s,
		self: fleet.Member{
			Life:    fleet.Life{ID: s.ID, Incarnation: fleet.Incarnation(time.Now().UnixNano())},
			Role:    s.Role,
			Place:   s.Place,
			Address: s.Peer.Listen,
		},
		keys:     k,
		operator: &operator.Server{Listen: s.Operator.Listen, Token: token, Keys: k, Metrics: m, Log: l},
		metrics:  m,
		log:      l,
	}
}

func (p *parts) entry() *entry.Entry {
	c := p.settings.Caller
	return &entry.Entry{
		Self:  p.self,
		Seeds: p.settings.Seeds,
		Caller: &caller.Server{
			Listen: c.Listen, MaxBody: c.MaxBody, MaxHeader: c.MaxHeader,
			HeaderTimeout: c.HeaderTimeout, BodyTimeout: c.HeaderTimeout, Drain: c.Drain, Log: p.log,
		},
		Operator: p.operator,
		Keys:     p.keys,
		Metrics:  p.metrics,
		Log:      p.log,
	}
}

func (p *parts) agent() *agent.Agent {
	return &agent.Agent{
		Self:     p.self,
		Host:     p.settings.Host.Listen,
		Operator: p.operator,
		Keys:     p.keys,
		Metrics:  p.metrics,
		Log:      p.log,
	}
}

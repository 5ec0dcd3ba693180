package local

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/base"
	storestandin "github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/process"
	"github.com/sesamestream/sesamestream/internal/settings"
	targetstandin "github.com/sesamestream/sesamestream/internal/target/standin"
	workerstandin "github.com/sesamestream/sesamestream/internal/worker/standin"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The deployment: three data centres in two regions, two agents in each, and
// entries in the first and the last.
var places = []fleet.Place{
	{Region: "nam-bo", DataCentre: "mui-ne", Rack: "r1"},
	{Region: "nam-bo", DataCentre: "vung-tau", Rack: "r1"},
	{Region: "trung-bo", DataCentre: "nha-trang", Rack: "r1"},
}

// The sizes of the deployment.
const (
	agentsEach  = 2
	connections = 16
	slots       = 8
	processors  = 16_000
	memory      = 60 << 30
	certificate = 24 * time.Hour
	tokenBytes  = 24
	gossipBytes = 32
)

// A Cluster is a whole deployment. Its exported fields are set before Run.
type Cluster struct {
	// Kinds are what the targets serve.
	Kinds []fleet.Kind
	// TargetDelay is how long an answer of a target takes.
	TargetDelay time.Duration
	// Tasks are the bounds of the tasks' leases.
	Tasks settings.Tasks
	// DropAnswer makes targets lose an answer, as of the target stand-in.
	DropAnswer func(id string) bool
	// Dir takes the keys that commands need.
	Dir string
	// Log takes the events of all processes.
	Log *log.Logger

	// TargetRecorder and Runs are the independent records at the stand-ins.
	TargetRecorder targetstandin.Recorder
	WorkerRecorder workerstandin.Recorder
	// Store is the store stand-in.
	Store *storestandin.Server
	// Entries and Agents are the processes.
	Entries []*Member
	Agents  []*Member

	authority *peer.Authority
	secrets   process.Secrets
}

// A Member is one process of the cluster with the stand-ins on its host.
type Member struct {
	Settings settings.Settings

	kill chan struct{}
	stop chan struct{}
	done chan struct{}
}

// Stop drains the process and ends it with the stand-ins of its host.
func (m *Member) Stop() {
	close(m.stop)
	<-m.done
}

// Kill ends the process and the stand-ins of its host at once, as a crash does.
func (m *Member) Kill() {
	close(m.kill)
	<-m.done
}

// Prepare chooses addresses and makes keys.
func (c *Cluster) Prepare() error {
	if err := c.makeSecrets(time.Now()); err != nil {
		return err
	}
	at, err := freeAddress()
	if err != nil {
		return err
	}
	c.Store = &storestandin.Server{Address: at}
	for i, p := range places {
		for j := range agentsEach {
			p.Rack = fmt.Sprintf("r%d", j+1)
			if err := c.add(fleet.RoleAgent, fleet.ID(fmt.Sprintf("%s-%d", p.DataCentre, j+1)), p); err != nil {
				return err
			}
		}
		if i != 1 {
			if err := c.add(fleet.RoleEntry, fleet.ID("entry-"+p.DataCentre), p); err != nil {
				return err
			}
		}
	}
	return c.writeKeys()
}

func (c *Cluster) makeSecrets(now time.Time) error {
	a, err := peer.NewAuthority(now, certificate)
	if err != nil {
		return err
	}
	k, err := a.Issue(peer.PeerName, now, certificate)
	if err != nil {
		return err
	}
	token := make([]byte, tokenBytes)
	gossip := make([]byte, gossipBytes)
	if _, err := rand.Read(token); err != nil {
		return errors.Wrap(err, "local: token")
	}
	if _, err := rand.Read(gossip); err != nil {
		return errors.Wrap(err, "local: gossip key")
	}
	c.authority = a
	c.secrets = process.Secrets{
		PeerKeys:      &peer.Keys{Certificate: k, Authority: a.Pool()},
		GossipKeys:    [][]byte{gossip},
		OperatorToken: hex.EncodeToString(token),
	}
	return nil
}

// writeKeys leaves in Dir what the operators' commands need.
func (c *Cluster) writeKeys() error {
	if err := os.WriteFile(filepath.Join(c.Dir, "ca.pem"), c.authority.PEM(), 0o600); err != nil {
		return errors.Wrap(err, "local: keys")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.Dir, "token"), []byte(c.secrets.OperatorToken+"\n"), 0o600), "local: keys")
}

func (c *Cluster) add(role fleet.Role, id fleet.ID, p fleet.Place) error {
	s := settings.Default()
	s.Role = role
	s.ID = id
	s.Place = p
	s.Tasks = c.Tasks
	s.Store.Address = "http://" + c.Store.Address.String()
	for _, at := range []*netip.AddrPort{&s.Peer.Listen, &s.Operator.Listen, &s.Host.Listen, &s.Caller.Listen} {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		*at = a
	}
	m := &Member{Settings: s, kill: make(chan struct{}), stop: make(chan struct{}), done: make(chan struct{})}
	if role == fleet.RoleEntry {
		c.Entries = append(c.Entries, m)
	} else {
		c.Agents = append(c.Agents, m)
	}
	return nil
}

// Run runs the deployment until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	// The store outlives the rest, so that shutdown can give leases up.
	storeCtx, stopStore := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStore()
	go func() { _ = c.Store.Run(storeCtx) }()
	for _, m := range append(append([]*Member{}, c.Agents...), c.Entries...) {
		m.Settings.Seeds = c.seeds()
		g.Go(func() error { return c.run(ctx, m) })
	}
	return g.Wait()
}

// seeds are one agent of each data centre.
func (c *Cluster) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for i := 0; i < len(c.Agents); i += agentsEach {
		out = append(out, c.Agents[i].Settings.Peer.Listen)
	}
	return out
}

// run runs one process and the stand-ins of its host.
func (c *Cluster) run(ctx context.Context, m *Member) error {
	defer close(m.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &process.Process{Settings: m.Settings, Secrets: c.secrets, Log: c.Log}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		select {
		case <-m.kill:
			p.Kill()
			cancel()
		case <-m.stop:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(func() error { return p.Run(ctx) })
	if m.Settings.Role == fleet.RoleAgent {
		g.Go(func() error { return c.target(m).Run(ctx) })
		g.Go(func() error { return c.worker(m).Run(ctx) })
	}
	return g.Wait()
}

func (c *Cluster) target(m *Member) *targetstandin.Target {
	t := &targetstandin.Target{
		ID:          "target-" + string(m.Settings.ID),
		Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
		Agent:       m.Settings.Host.Listen,
		Kinds:       c.Kinds,
		Connections: connections,
		Delay:       c.TargetDelay,
		Recorder:    &c.TargetRecorder,
	}
	if c.DropAnswer != nil {
		t.Lose = c.DropAnswer
	}
	return t
}

func (c *Cluster) worker(m *Member) *workerstandin.Worker {
	return &workerstandin.Worker{
		ID:        "worker-" + string(m.Settings.ID),
		Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
		Agent:     m.Settings.Host.Listen,
		Resources: fleet.Resources{Processors: processors, Memory: memory, Slots: slots},
		Recorder:  &c.WorkerRecorder,
	}
}

// taskName is a task's name at the workers.
func taskName(j task.JobID, index, shards int) string {
	return fmt.Sprintf("%d/%d/%s", base.ShardOf(j, shards), index, j)
}

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

// deploymentPlaces are the data centres of the deployment: three in two regions.
// Each has two agents; the first and the last also have an entry.
var deploymentPlaces = []fleet.Place{
	{Region: "nam-bo", DataCentre: "mui-ne", Rack: "r1"},
	{Region: "nam-bo", DataCentre: "vung-tau", Rack: "r1"},
	{Region: "trung-bo", DataCentre: "nha-trang", Rack: "r1"},
}

// The sizes of the deployment. Processors are in thousandths, memory is in bytes.
const (
	agentsPerDataCentre  = 2
	connectionsPerTarget = 16
	slotsPerWorker       = 8
	processorsPerWorker  = 16_000
	memoryPerWorker      = 60 << 30
	certificateValidity  = 24 * time.Hour
	tokenBytes           = 24
	gossipKeyBytes       = 32
)

// A Cluster is a whole deployment. Its exported fields are set before Run.
type Cluster struct {
	// Kinds are the kinds that the targets serve.
	Kinds []fleet.Kind
	// TargetDelay is how long a target takes to answer.
	TargetDelay time.Duration
	// Tasks are the settings of task leases and shards.
	Tasks settings.Tasks
	// DropAnswer, if set, reports whether a target breaks the connection
	// instead of answering the request.
	DropAnswer func(id string) bool
	// Dir is the folder for the keys that the operators' commands need.
	Dir string
	// Log receives the events of all processes.
	Log *log.Logger

	// TargetRecorder and WorkerRecorder record the runs of requests and tasks at
	// the stand-ins, independently of the processes.
	TargetRecorder targetstandin.Recorder
	WorkerRecorder workerstandin.Recorder
	// Store is the store stand-in.
	Store *storestandin.Server
	// Entries and Agents are the processes by role.
	Entries []*Member
	Agents  []*Member

	authority *peer.Authority
	secrets   process.Secrets
}

// A Member is one process of the cluster, together with the stand-ins on its host.
type Member struct {
	Settings settings.Settings

	kill chan struct{}
	stop chan struct{}
	done chan struct{}
}

// Stop drains the process and stops it and the stand-ins on its host.
func (m *Member) Stop() {
	close(m.stop)
	<-m.done
}

// Kill stops the process and the stand-ins on its host without draining, as a crash does.
func (m *Member) Kill() {
	close(m.kill)
	<-m.done
}

// Prepare chooses addresses, generates keys and writes those that operators need to Dir.
func (c *Cluster) Prepare() error {
	if err := c.makeSecrets(time.Now()); err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	c.Store = &storestandin.Server{Address: address}
	for i, p := range deploymentPlaces {
		for j := range agentsPerDataCentre {
			p.Rack = fmt.Sprintf("r%d", j+1)
			if err := c.addMember(fleet.RoleAgent, fleet.ID(fmt.Sprintf("%s-%d", p.DataCentre, j+1)), p); err != nil {
				return err
			}
		}
		if i != 1 {
			if err := c.addMember(fleet.RoleEntry, fleet.ID("entry-"+p.DataCentre), p); err != nil {
				return err
			}
		}
	}
	return c.writeKeys()
}

func (c *Cluster) makeSecrets(now time.Time) error {
	a, err := peer.NewAuthority(now, certificateValidity)
	if err != nil {
		return err
	}
	k, err := a.Issue(peer.PeerName, now, certificateValidity)
	if err != nil {
		return err
	}
	token := make([]byte, tokenBytes)
	gossip := make([]byte, gossipKeyBytes)
	if _, err := rand.Read(token); err != nil {
		return errors.Wrap(err, "local: generate operator token")
	}
	if _, err := rand.Read(gossip); err != nil {
		return errors.Wrap(err, "local: generate gossip key")
	}
	c.authority = a
	c.secrets = process.Secrets{
		PeerKeys:      &peer.Keys{Certificate: k, Authority: a.Pool()},
		GossipKeys:    [][]byte{gossip},
		OperatorToken: hex.EncodeToString(token),
	}
	return nil
}

// writeKeys writes the authority's certificate and the operators' token to Dir.
func (c *Cluster) writeKeys() error {
	if err := os.WriteFile(filepath.Join(c.Dir, "ca.pem"), c.authority.PEM(), 0o600); err != nil {
		return errors.Wrap(err, "local: write keys")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.Dir, "token"), []byte(c.secrets.OperatorToken+"\n"), 0o600), "local: write keys")
}

func (c *Cluster) addMember(role fleet.Role, id fleet.ID, p fleet.Place) error {
	s := settings.Default()
	s.Role = role
	s.ID = id
	s.Place = p
	s.Tasks = c.Tasks
	s.Store.Address = "http://" + c.Store.Address.String()
	for _, listen := range []*netip.AddrPort{&s.Peer.Listen, &s.Operator.Listen, &s.Host.Listen, &s.Caller.Listen} {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		*listen = a
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
	// The store stops after the processes, so that they can release their leases
	// while they shut down.
	storeCtx, stopStore := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStore()
	go func() { _ = c.Store.Run(storeCtx) }()
	for _, m := range append(append([]*Member{}, c.Agents...), c.Entries...) {
		m.Settings.Seeds = c.seeds()
		g.Go(func() error { return c.runMember(ctx, m) })
	}
	return g.Wait()
}

// seeds returns the peer address of one agent in each data centre.
func (c *Cluster) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for i := 0; i < len(c.Agents); i += agentsPerDataCentre {
		out = append(out, c.Agents[i].Settings.Peer.Listen)
	}
	return out
}

// runMember runs one process and the stand-ins on its host until m is stopped
// or ctx ends.
func (c *Cluster) runMember(ctx context.Context, m *Member) error {
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
		g.Go(func() error { return c.newTarget(m).Run(ctx) })
		g.Go(func() error { return c.newWorker(m).Run(ctx) })
	}
	return g.Wait()
}

func (c *Cluster) newTarget(m *Member) *targetstandin.Target {
	t := &targetstandin.Target{
		ID:          "target-" + string(m.Settings.ID),
		Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
		Agent:       m.Settings.Host.Listen,
		Kinds:       c.Kinds,
		Connections: connectionsPerTarget,
		Delay:       c.TargetDelay,
		Recorder:    &c.TargetRecorder,
	}
	if c.DropAnswer != nil {
		t.Lose = c.DropAnswer
	}
	return t
}

func (c *Cluster) newWorker(m *Member) *workerstandin.Worker {
	return &workerstandin.Worker{
		ID:        "worker-" + string(m.Settings.ID),
		Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
		Agent:     m.Settings.Host.Listen,
		Resources: fleet.Resources{Processors: processorsPerWorker, Memory: memoryPerWorker, Slots: slotsPerWorker},
		Recorder:  &c.WorkerRecorder,
	}
}

// taskName returns the name under which workers know a task.
func taskName(j task.JobID, index, shards int) string {
	return fmt.Sprintf("%d/%d/%s", base.ShardOf(j, shards), index, j)
}

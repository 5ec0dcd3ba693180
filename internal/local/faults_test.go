package local

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/peer"
	targetstandin "github.com/sesamestream/sesamestream/internal/target/standin"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// TestFaultsOfAWholeDeployment brings faults about one after the other.
func TestFaultsOfAWholeDeployment(t *testing.T) {
	c := start(t)
	t.Run("operators' port refuses strangers", c.strangers)
	t.Run("a target that leaves is not cut", c.targetLeaves)
	t.Run("one key at two entries runs once", c.oneKeyTwice)
	t.Run("an agent that dies leaves no second run", func(t *testing.T) {
		c.dies(t, "agent", c.traffic(), c.Agents[1].Kill)
	})
	t.Run("an entry that dies leaves no second run", func(t *testing.T) {
		c.dies(t, "entry", c.traffic(), c.Entries[0].Kill)
	})
}

// strangers calls the operators' port with each proof that is not enough.
func (c *Cluster) strangers(t *testing.T) {
	other, err := peer.NewAuthority(time.Now(), time.Hour)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	issue := func(a *peer.Authority, name string) *tls.Certificate {
		k, err := a.Issue(name, time.Now(), time.Hour)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return &k
	}
	for _, x := range []struct {
		name   string
		token  string
		shown  *tls.Certificate
		status int
	}{
		{"nothing", "", nil, http.StatusUnauthorized},
		{"a wrong token", "wrong", nil, http.StatusUnauthorized},
		{"half the token", c.secrets.OperatorToken[:8], nil, http.StatusUnauthorized},
		{"a peer's certificate", "", issue(c.authority, peer.PeerName), http.StatusUnauthorized},
		{"another authority's operator", "", issue(other, peer.OperatorName), 0},
		{"another authority's peer", c.secrets.OperatorToken, issue(other, peer.PeerName), 0},
		{"an operator's certificate", "", issue(c.authority, peer.OperatorName), http.StatusOK},
		{"the token", c.secrets.OperatorToken, nil, http.StatusOK},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &tls.Config{RootCAs: c.authority.Pool(), ServerName: peer.PeerName, MinVersion: tls.VersionTLS13}
			if x.shown != nil {
				// Shown whatever authorities the server names.
				s.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return x.shown, nil }
			}
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: s}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for _, m := range []*Member{c.Entries[0], c.Agents[0]} {
				r, err := http.NewRequest(http.MethodGet, "https://"+m.Settings.Operator.Listen.String()+"/v1/metrics", nil)
				g.Expect(err).NotTo(HaveOccurred())
				if x.token != "" {
					r.Header.Set("Authorization", "Bearer "+x.token)
				}
				w, err := client.Do(r)
				if x.status == 0 {
					g.Expect(err).To(HaveOccurred())
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				w.Body.Close()
				g.Expect(w.StatusCode).To(Equal(x.status))
			}
		})
	}
	g := NewWithT(t)
	r, err := http.Get("http://" + c.Entries[0].Settings.Caller.Listen.String() + "/v1/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	r.Body.Close()
	g.Expect(r.StatusCode).To(Equal(http.StatusNotFound))
	g.Expect(r.Header.Get(caller.HeaderOutcome)).To(Equal(string(fleet.NotRun)))
}

func (c *Cluster) traffic() *LoadGenerator {
	x := &LoadGenerator{Recorder: &CallerRecorder{}}
	for _, e := range c.Entries {
		x.Entries = append(x.Entries, e.Settings.Caller.Listen)
	}
	return x
}

// targetLeaves has one more target come, serve and leave under load.
func (c *Cluster) targetLeaves(t *testing.T) {
	g := NewWithT(t)
	x := c.traffic()
	load, stop := context.WithCancel(context.Background())
	defer stop()
	var loads sync.WaitGroup
	loads.Go(func() { x.Run(load, Load{Kind: kindGust, Rate: rate.Limit(400)}) })
	leaver := c.target(c.Agents[0])
	leaver.ID = "leaver"
	var served targetstandin.Recorder
	var mu sync.Mutex
	runs := 0
	leaver.Recorder = &served
	leaver.Lose = func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		runs++
		return false
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return runs
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	left := make(chan error, 1)
	go func() { left <- leaver.Run(ctx) }()
	g.Eventually(count, time.Minute).Should(BeNumerically(">", 10))
	leave()
	g.Eventually(left, 10*time.Second).Should(Receive(BeNil()))
	n := count()
	stop()
	loads.Wait()
	x.Wait()
	o := x.Recorder.Stats(kindGust)
	g.Expect(o.Broken + o.Unknown + o.Mismatched).To(BeZero())
	g.Expect(o.Answered).To(Equal(o.Offered))
	g.Expect(count()).To(Equal(n))
}

// oneKeyTwice sends each key to both entries at once.
func (c *Cluster) oneKeyTwice(t *testing.T) {
	g := NewWithT(t)
	x := c.traffic()
	answered := 0
	for i := range 60 {
		key := fmt.Sprint("twice-", i)
		var told [4]fleet.Outcome
		var both sync.WaitGroup
		for k := range told {
			both.Go(func() { told[k] = x.Send(kindAlert, key, key, k) })
		}
		both.Wait()
		c.truth(t, key, told[:]...)
		if c.TargetRecorder.Runs(key) == 1 {
			answered++
		}
	}
	g.Expect(answered).To(BeNumerically(">", 50))
}

// truth holds what was told of one key to the record of the targets.
func (c *Cluster) truth(t *testing.T, key string, told ...fleet.Outcome) {
	g := NewWithT(t)
	runs := c.TargetRecorder.Runs(key)
	g.Expect(runs).To(BeNumerically("<=", 1), key)
	answers := 0
	for _, o := range told {
		switch o {
		case fleet.Answered:
			answers++
			g.Expect(runs).To(Equal(1), key)
		case fleet.NotRun:
			g.Expect(runs).To(BeZero(), key)
		}
	}
	g.Expect(answers).To(BeNumerically("<=", 1), key)
}

// dies kills a process under load and repeats each request at the other entry.
func (c *Cluster) dies(t *testing.T, who string, x *LoadGenerator, kill func()) {
	g := NewWithT(t)
	const n = 200
	var told [n][2]fleet.Outcome
	var sent sync.WaitGroup
	pace := rate.NewLimiter(200, 1)
	for i := range n {
		g.Expect(pace.Wait(context.Background())).To(Succeed())
		if i == n/2 {
			kill()
		}
		key := fmt.Sprint(who, "-dies-", i)
		sent.Go(func() {
			told[i][0] = x.Send(kindAlert, key, key, 0)
			told[i][1] = x.Send(kindAlert, key, key, 1)
		})
	}
	sent.Wait()
	ran, lost := 0, 0
	for i := range n {
		key := fmt.Sprint(who, "-dies-", i)
		c.truth(t, key, told[i][0], told[i][1])
		ran += c.TargetRecorder.Runs(key)
		if told[i][0] != fleet.Answered && told[i][1] != fleet.Answered {
			lost++
		}
	}
	t.Logf("%d of %d ran, %d were not answered by either entry", ran, n, lost)
	// A killed owner's shard takes no claims until another has it: what was sent
	// before runs, and in the end everything does again.
	g.Expect(ran).To(BeNumerically(">", n/4))
	began := time.Now()
	try := 0
	g.Eventually(func() (answered int) {
		try++
		for i := range 8 {
			key := fmt.Sprint(who, "-after-", try, "-", i)
			if x.Send(kindAlert, key, key, 1) == fleet.Answered {
				answered++
			}
		}
		return answered
	}, time.Minute).Should(Equal(8))
	t.Logf("all keys granted again %v after the load", time.Since(began))
}

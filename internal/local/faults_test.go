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

// TestFaultsOfAWholeDeployment injects faults into one deployment, one after the other.
func TestFaultsOfAWholeDeployment(t *testing.T) {
	c := startCluster(t)
	t.Run("operators' port refuses strangers", c.checkOperatorAuthentication)
	t.Run("a target that leaves is not cut", c.stopTargetUnderLoad)
	t.Run("one key at two entries runs once", c.sendKeyToBothEntries)
	t.Run("an agent that dies leaves no second run", func(t *testing.T) {
		c.killUnderLoad(t, "agent", c.newLoadGenerator(), c.Agents[1].Kill)
	})
	t.Run("an entry that dies leaves no second run", func(t *testing.T) {
		c.killUnderLoad(t, "entry", c.newLoadGenerator(), c.Entries[0].Kill)
	})
}

// checkOperatorAuthentication calls the operators' port with valid, invalid and missing
// credentials, and checks that the callers' port doesn't serve operators' paths.
func (c *Cluster) checkOperatorAuthentication(t *testing.T) {
	other, err := peer.NewAuthority(time.Now(), time.Hour)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	issue := func(a *peer.Authority, name string) *tls.Certificate {
		k, err := a.Issue(name, time.Now(), time.Hour)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return &k
	}
	for _, tc := range []struct {
		name        string
		token       string
		certificate *tls.Certificate
		status      int
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
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			config := &tls.Config{RootCAs: c.authority.Pool(), ServerName: peer.PeerName, MinVersion: tls.VersionTLS13}
			if tc.certificate != nil {
				// The client sends the certificate whatever authorities the server accepts.
				config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return tc.certificate, nil }
			}
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for _, m := range []*Member{c.Entries[0], c.Agents[0]} {
				r, err := http.NewRequest(http.MethodGet, "https://"+m.Settings.Operator.Listen.String()+"/v1/metrics", nil)
				g.Expect(err).NotTo(HaveOccurred())
				if tc.token != "" {
					r.Header.Set("Authorization", "Bearer "+tc.token)
				}
				w, err := client.Do(r)
				if tc.status == 0 {
					g.Expect(err).To(HaveOccurred())
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				w.Body.Close()
				g.Expect(w.StatusCode).To(Equal(tc.status))
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

func (c *Cluster) newLoadGenerator() *LoadGenerator {
	x := &LoadGenerator{Recorder: &CallerRecorder{}}
	for _, e := range c.Entries {
		x.Entries = append(x.Entries, e.Settings.Caller.Listen)
	}
	return x
}

// stopTargetUnderLoad starts an additional target under load and stops it. It guards
// against requests that are broken, refused or run after the target has left.
func (c *Cluster) stopTargetUnderLoad(t *testing.T) {
	g := NewWithT(t)
	x := c.newLoadGenerator()
	load, stop := context.WithCancel(context.Background())
	defer stop()
	var loads sync.WaitGroup
	loads.Go(func() { x.Run(load, Load{Kind: kindGust, Rate: rate.Limit(400)}) })
	leaver := c.newTarget(c.Agents[0])
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

// sendKeyToBothEntries sends each key to both entries at once, and checks that it runs at
// most once and that nearly all keys run.
func (c *Cluster) sendKeyToBothEntries(t *testing.T) {
	g := NewWithT(t)
	x := c.newLoadGenerator()
	answered := 0
	for i := range 60 {
		key := fmt.Sprint("twice-", i)
		var outcomes [4]fleet.Outcome
		var both sync.WaitGroup
		for k := range outcomes {
			both.Go(func() { outcomes[k] = x.Send(kindAlert, key, key, k) })
		}
		both.Wait()
		c.checkOutcomes(t, key, outcomes[:]...)
		if c.TargetRecorder.Runs(key) == 1 {
			answered++
		}
	}
	g.Expect(answered).To(BeNumerically(">", 50))
}

// checkOutcomes compares the outcomes that were answered for one key with the runs that
// the targets recorded.
func (c *Cluster) checkOutcomes(t *testing.T, key string, outcomes ...fleet.Outcome) {
	g := NewWithT(t)
	runs := c.TargetRecorder.Runs(key)
	g.Expect(runs).To(BeNumerically("<=", 1), key)
	answers := 0
	for _, o := range outcomes {
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

// killUnderLoad kills a process under load and repeats each request through the other
// entry. It guards against second runs, false outcomes and keys that stay refused
// after the crash.
func (c *Cluster) killUnderLoad(t *testing.T, role string, x *LoadGenerator, kill func()) {
	g := NewWithT(t)
	const n = 200
	var outcomes [n][2]fleet.Outcome
	var sent sync.WaitGroup
	limiter := rate.NewLimiter(200, 1)
	for i := range n {
		g.Expect(limiter.Wait(context.Background())).To(Succeed())
		if i == n/2 {
			kill()
		}
		key := fmt.Sprint(role, "-dies-", i)
		sent.Go(func() {
			outcomes[i][0] = x.Send(kindAlert, key, key, 0)
			outcomes[i][1] = x.Send(kindAlert, key, key, 1)
		})
	}
	sent.Wait()
	ran, unanswered := 0, 0
	for i := range n {
		key := fmt.Sprint(role, "-dies-", i)
		c.checkOutcomes(t, key, outcomes[i][0], outcomes[i][1])
		ran += c.TargetRecorder.Runs(key)
		if outcomes[i][0] != fleet.Answered && outcomes[i][1] != fleet.Answered {
			unanswered++
		}
	}
	t.Logf("%d of %d ran, %d were not answered by either entry", ran, n, unanswered)
	// After an owner is killed, its shard accepts no claims until another process owns
	// it. Requests sent before the kill run, and later all requests are granted again.
	g.Expect(ran).To(BeNumerically(">", n/4))
	began := time.Now()
	attempt := 0
	g.Eventually(func() (answered int) {
		attempt++
		for i := range 8 {
			key := fmt.Sprint(role, "-after-", attempt, "-", i)
			if x.Send(kindAlert, key, key, 1) == fleet.Answered {
				answered++
			}
		}
		return answered
	}, time.Minute).Should(Equal(8))
	t.Logf("all keys granted again %v after the load", time.Since(began))
}

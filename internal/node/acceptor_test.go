package node

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/intake"
	"github.com/sesamestream/sesamestream/internal/link"
)

// Strangers that connect and send no hello must not take the place of the processes of the
// system, of which hundreds connect at once after a takeover.
func TestStrangersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var open atomic.Int64
		var reached []intake.Reason
		a := &acceptor{maxConns: 600, onLimit: func(r intake.Reason) { reached = append(reached, r) }, open: &open}
		var all []*link.Conn
		connect := func() *link.Conn {
			x, _ := net.Pipe()
			c := link.New(x)
			all = append(all, c)
			return c
		}
		closed := func(c *link.Conn) bool {
			select {
			case <-c.Done():
				return true
			default:
				return false
			}
		}
		session := connect()
		g.Expect(a.add(session)).To(BeTrue())
		a.opened(session)
		for range 400 {
			g.Expect(a.add(connect())).To(BeTrue())
		}
		g.Expect(reached).To(BeEmpty(), "400 processes may connect within a second")
		time.Sleep(2 * time.Second)
		g.Expect(a.add(connect())).To(BeTrue())
		g.Expect(reached).To(Equal([]intake.Reason{intake.ReasonStrangers}))
		g.Expect(closed(all[1])).To(BeTrue(), "the oldest stranger")
		g.Expect(closed(session)).To(BeFalse())
		for _, c := range all[2:] {
			a.opened(c)
		}
		for open.Load() < 600 {
			g.Expect(a.add(connect())).To(BeTrue())
			a.opened(all[len(all)-1])
		}
		g.Expect(a.add(connect())).To(BeFalse(), "only sessions are left")
		for _, c := range all {
			a.remove(c)
			c.Close()
		}
		g.Expect(open.Load()).To(BeZero())
	})
}

package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/gossip"
)

// measureDuration is the length of the warm-up and of the measurement.
const measureDuration = 20 * time.Second

var seedAddress netip.AddrPort

// BenchmarkLoopback measures the cost of n members in one data centre over UDP on this host:
// the bytes sent per member and second, and the processor time per member.
func BenchmarkLoopback(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				benchmarkLoopback(b, n)
			}
		})
	}
}

func benchmarkLoopback(b *testing.B, n int) {
	system := newSystem()
	defer system.Shutdown()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	ring := &gossip.KeyRing{}
	ring.Set([]gossip.Key{{1}})
	r := metrics.NewRegistry()
	done := make(chan error, n)
	for i := range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		x := newGossip(system, i, gossip.UDP{Conn: c}, ring)
		x.Self.ID += "-" + x.Self.ID
		x.Self.Address = c.LocalAddr().(*net.UDPAddr).AddrPort()
		if i == 0 {
			seedAddress = x.Self.Address
		}
		x.Seeds[0] = seedAddress
		x.Registry = r
		go func() { done <- x.Run(ctx) }()
	}
	<-time.After(measureDuration)
	sent := metrics.GetOrRegisterCounter("gossip.sent", r)
	bytes, used := sent.Count(), processorTime(b)
	<-time.After(measureDuration)
	per := float64(n) * measureDuration.Seconds()
	b.ReportMetric(float64(sent.Count()-bytes)/per, "B/member/s")
	b.ReportMetric((processorTime(b)-used).Seconds()/per*100, "%core/member")
	cancel()
	for range n {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package message

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// checkRoundTrip decodes b as a T. A message that decodes must survive encoding and decoding,
// and its second encoding must be as long as the first.
func checkRoundTrip[T any](t *testing.T, b []byte) (T, bool) {
	v, err := codec.Decode[T](b)
	if err != nil {
		if _, ok := any(err).(interface{ Unwrap() error }); !ok {
			t.Errorf("%T: %v", v, err)
		}
		return v, false
	}
	g := NewWithT(t)
	first, err := codec.Encode(v)
	if err != nil {
		// A decoded value may have no encoding, such as a year after 9999.
		return v, true
	}
	w, err := codec.Decode[T](first)
	g.Expect(err).NotTo(HaveOccurred(), "%T", v)
	second, err := codec.Encode(w)
	g.Expect(err).NotTo(HaveOccurred(), "%T", v)
	g.Expect(second).To(HaveLen(len(first)), "%T", v)
	return v, true
}

// FuzzMessages decodes arbitrary bytes as each message.
func FuzzMessages(f *testing.F) {
	add := func(b []byte, err error) {
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	at := netip.MustParseAddrPort("127.0.0.1:1")
	add(codec.Encode(RequestHead{ID: "a", Kind: "gust", Method: "GET", Path: "/", Header: http.Header{"A": {"b"}}, Remaining: time.Second}))
	add(codec.Encode(AnswerHead{Verdict: Answered, Status: 200, Header: http.Header{"A": {"b"}}, Load: Load{InFlight: 1, SampledAt: time.Unix(1, 0)}}))
	add(codec.Encode(Claim{Shard: 1, Digest: KeyDigest{1}, Kind: "alert"}))
	add(codec.Encode(ClaimEnd{Shard: 1, GrantID: 2, Outcome: fleet.NotRun}))
	add(codec.Encode(Order{Owner: at, Verb: OrderStart, Attempts: []Attempt{{Task: task.ID{Job: "j"}, Number: 1}}, Spec: &task.Spec{}}))
	add(codec.Encode(AgentReport{Address: at, Attempts: []Attempt{{Task: task.ID{Job: "j"}, Number: 1}}}))
	add([]byte{0x9f, 0x9f, 0x9f, 0x9f}, nil)
	add([]byte{0xba, 0xff, 0xff, 0xff, 0xff}, nil)
	f.Fuzz(func(t *testing.T, b []byte) {
		checkRoundTrip[RequestHead](t, b)
		checkRoundTrip[AnswerHead](t, b)
		checkRoundTrip[Claim](t, b)
		checkRoundTrip[ClaimAnswer](t, b)
		checkRoundTrip[ClaimEnd](t, b)
		checkRoundTrip[TableAnswer](t, b)
		checkRoundTrip[Status](t, b)
		checkRoundTrip[HostCapacity](t, b)
		checkRoundTrip[Drain](t, b)
		if o, ok := checkRoundTrip[Order](t, b); ok {
			o.Event(time.Unix(0, 0))
		}
		if x, ok := checkRoundTrip[AgentReport](t, b); ok {
			x.Event()
		}
	})
}

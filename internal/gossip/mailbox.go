package gossip

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
)

// A mailbox sends events to one actor.
type mailbox struct {
	root *actor.RootContext
	pid  *actor.PID
}

func (m *mailbox) send(e member.Event) {
	m.root.Send(m.pid, e)
}

package gossip

import (
	"github.com/asynkron/protoactor-go/actor"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
)

// A mailbox takes the events for one actor.
type mailbox struct {
	root *actor.RootContext
	id   *actor.PID
}

func (m *mailbox) send(e member.Event) {
	m.root.Send(m.id, e)
}

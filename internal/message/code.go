package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// The errors that keep their identity between processes.
var (
	_ = peer.Code("task.conflict", task.ErrConflict)
	_ = peer.Code("task.badSpec", task.ErrBadSpec)
	_ = peer.Code("task.unknownJob", task.ErrUnknownJob)
	_ = peer.Code("task.notReady", task.ErrNotReady)
	_ = peer.Code("store.unavailable", store.ErrUnavailable)
	_ = peer.Code("store.unknown", store.ErrUnknown)
)

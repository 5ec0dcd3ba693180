package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// The errors that are sent with a code, so that errors.Is recognises them in other processes.
var (
	_ = peer.RegisterErrorCode("task.conflict", task.ErrConflict)
	_ = peer.RegisterErrorCode("task.badSpec", task.ErrBadSpec)
	_ = peer.RegisterErrorCode("task.unknownJob", task.ErrUnknownJob)
	_ = peer.RegisterErrorCode("task.notReady", task.ErrNotReady)
	_ = peer.RegisterErrorCode("store.unavailable", store.ErrUnavailable)
	_ = peer.RegisterErrorCode("store.unknown", store.ErrUnknown)
)

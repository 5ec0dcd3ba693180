package worker

import (
	"encoding/json"
	"testing"
)

// FuzzAnnouncement checks that every announcement that passes Check is usable.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"w","incarnation":1,"address":"127.0.0.1:80","resources":{"slots":1}}`))
	f.Add([]byte(`{"id":"w","incarnation":1,"address":"127.0.0.1:80","resources":{"slots":1,"memory":-1},"attempts":[{"task":"0/0/j","number":1,"state":"done"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a Announcement
		if json.Unmarshal(b, &a) != nil || a.Check() != nil {
			return
		}
		if a.ID == "" || !a.Address.IsValid() || a.Resources.Slots <= 0 || a.Resources.Memory < 0 {
			t.Errorf("%+v", a)
		}
	})
}

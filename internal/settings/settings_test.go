package settings_test

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/settings"
)

const validSettings = `role: agent
id: muine-1
place: {region: nam-bo, dataCentre: mui-ne, rack: r1}
peer: {listen: "127.0.0.1:7101"}
operator: {listen: "127.0.0.1:7102", tokenFile: token}
host: {listen: "127.0.0.1:7103"}
store: {address: "http://127.0.0.1:8500"}
keys: {ca: ca.pem, certificate: c.pem, key: k.pem, gossip: g}
seeds: ["127.0.0.1:7001"]
`

func TestParseReportsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"good", "", "", ""},
		{"unknown field", "id:", "idd:", `2:1: unknown field "idd"`},
		{"duplicate key", "id: muine-1", "id: muine-1\nid: b", "3:1"},
		{"impossible address", `peer: {listen: "127.0.0.1:7101"}`, `peer: {listen: "127.0.0.1:99999"}`, "4:16"},
		{"no port", `"127.0.0.1:7101"`, `"127.0.0.1:0"`, "4:16: $.peer.listen: needs a port"},
		{"unreachable", `"127.0.0.1:7101"`, `"0.0.0.0:7101"`, "not 0.0.0.0"},
		{"bad role", "role: agent", "role: boss", "1:7: $.role: must be entry or agent"},
		{"no region", "region: nam-bo, ", "", "3:"},
		{"bad URL", "http://127.0.0.1:8500", "tcp:x", "7:"},
		{"bad log", "id: muine-1", "id: muine-1\nlog: loud", "3:6: $.log"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := settings.Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			if c.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(settings.ErrInvalid))
			g.Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}
}

// settingNames returns the YAML names of the fields of a struct type, nested ones separated by dots.
func settingNames(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		n := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[netip.AddrPort]() {
			out = append(out, settingNames(n+".", f.Type)...)
			continue
		}
		out = append(out, n)
	}
	return out
}

func TestHelpListsEverySetting(t *testing.T) {
	g := NewWithT(t)
	for _, n := range settingNames("", reflect.TypeFor[settings.Settings]()) {
		g.Expect(settings.Help()).To(ContainSubstring("  " + n + " "))
	}
}
